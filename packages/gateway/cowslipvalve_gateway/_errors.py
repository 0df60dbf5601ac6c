"""Errors of calls to backend servers, the store and other hosts."""

import cowslipvalve_base as base


class UnsentError(base.CowslipvalveError):
    """No byte of the request was sent; trying another server costs nothing."""


class PoolBusyError(UnsentError):
    """All connections of this host to the server are in use; retry shortly."""


class RateLimitedError(UnsentError):
    """The request would exceed the limit that the server states."""


class WithdrawnError(UnsentError):
    """The server has stated that it leaves or wants no requests for now."""


class RejectedError(base.CowslipvalveError):
    """The server reports that it has not run the request."""


class MisdirectedError(RejectedError):
    """Another server has the address; wait for a new registration."""


class LostAnswerError(base.CowslipvalveError):
    """The request was sent without a complete answer; it may have run."""


class UnprovenMisdirectionError(LostAnswerError):
    """Another server may have the address, but may also have run the request.

    Its answer does not state that it has not.
    """


class BrokenConnectionError(LostAnswerError):
    """The connection was lost before the answer was complete."""


class LinkLostError(LostAnswerError):
    """This host lost its link to the server while it awaited the answer."""


class HistoryGoneError(base.PlatformError):
    """The store has discarded the changes after a revision; list again."""


class HostUnavailableError(base.CowslipvalveError):
    """Another host did not return its state; ask the next host or the store."""
