"""The exception hierarchy of cowslipvalve."""

from cowslipvalve_base import _outcomes


class CowslipvalveError(Exception):
    """Base class of all errors, with the failed step and the peer.

    Attributes:
      step: The operation that failed, such as "send-query".
      peer: The name or address of the remote side, empty if there is none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer


class SettingsError(CowslipvalveError):
    """A settings file is missing, unreadable or has a bad field."""


class SettingsIncompleteError(SettingsError):
    """A settings file is missing, unreadable or not written to its end."""


class InputError(CowslipvalveError):
    """Data from outside the process does not have the expected fields."""


class RequestError(CowslipvalveError):
    """A caller's request is malformed; no part of it was run."""


class NotRunError(CowslipvalveError):
    """No server has run the request, so it can safely be sent again.

    Attributes:
      reason: Why the request was not run.
    """

    def __init__(
        self,
        message: str,
        *,
        reason: _outcomes.Reason,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.reason = reason


class UnknownOutcomeError(CowslipvalveError):
    """The request may have run; it is retried only if it is idempotent."""


class CutOffError(UnknownOutcomeError):
    """This host ended the request because it stops; it may have run."""


class CrashedError(UnknownOutcomeError):
    """The connection was lost while the server was running the request."""


class PlatformError(CowslipvalveError):
    """Base class of the errors of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect."""


class ConflictError(PlatformError):
    """Another writer changed the object; read it again before writing."""


class AlreadyExistsError(PlatformError):
    """An object of the same kind and name already exists."""


class NotFoundError(PlatformError):
    """No object of the given kind and name exists."""
