"""What the error of an attempt means for its call and its server."""

import functools

from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _errors

# Of these the server knows nothing.
_OWN_ERRORS = (
    _errors.PoolBusyError,
    _errors.RateLimitedError,
    _errors.WithdrawnError,
    _errors.LinkLostError,
)

# After these the server's address is not used until it registers again.
MISDIRECTIONS = (
    _errors.MisdirectedError,
    _errors.UnprovenMisdirectionError,
)


def is_server_failure(error: Exception | None) -> bool:
    """Whether an error, or a bad answer if there is none, counts as failure."""
    return not isinstance(error, _OWN_ERRORS)


@functools.singledispatch
def find_reason(error: Exception) -> _calls.RefusalReason:
    """Returns why a call has no answer if this was its last error."""
    raise TypeError(f"unsupported error: {error!r}")


@find_reason.register
def _(_: _errors.UnsentError) -> _calls.RefusalReason:
    return _calls.RefusalReason.NO_SERVER


@find_reason.register
def _(_: _errors.PoolBusyError) -> _calls.RefusalReason:
    return _calls.RefusalReason.OVERLOADED


@find_reason.register(_errors.RateLimitedError)
@find_reason.register(_errors.WithdrawnError)
def _(_: _errors.UnsentError) -> _calls.RefusalReason:
    return _calls.RefusalReason.RATE_LIMITED


@find_reason.register
def _(_: _errors.RejectedError) -> _calls.RefusalReason:
    return _calls.RefusalReason.OVERLOADED


@find_reason.register
def _(_: _errors.MisdirectedError) -> _calls.RefusalReason:
    return _calls.RefusalReason.NO_SERVER


@find_reason.register
def _(_: _errors.LostAnswerError) -> _calls.RefusalReason:
    return _calls.RefusalReason.LOST
