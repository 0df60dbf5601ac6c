"""The exception tree of cowslipvalve."""

from cowslipvalve_base import _outcomes


class CowslipvalveError(Exception):
    """Base of all errors, with the step and the peer where it arose.

    Attributes:
      step: The step of the work that failed, such as "send-query".
      peer: The name or address of the other side, empty if there is none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer


class SettingsError(CowslipvalveError):
    """A settings file is missing, unreadable or has a bad field."""


class InputError(CowslipvalveError):
    """A document from outside does not have the expected fields."""


class RequestError(CowslipvalveError):
    """A caller's request is malformed; nothing of it was run."""


class NotRunError(CowslipvalveError):
    """No server has run the request; it may be sent again.

    Attributes:
      reason: Why it was not run.
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
    """The request may have run; a non-idempotent one is not sent again."""


class CrashedError(UnknownOutcomeError):
    """The connection was lost while the server was running the request."""


class PlatformError(CowslipvalveError):
    """Base of the errors of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect."""


class ConflictError(PlatformError):
    """The object was changed by another writer; read it again first."""


class AlreadyExistsError(PlatformError):
    """An object of that kind and name exists already."""


class NotFoundError(PlatformError):
    """There is no object of that kind and name."""
