"""Refusals, and when their callers should come back."""

import random

from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _resources

_RETRY_AFTER_MS = 200.0  # A slot of the slowest service is free by then.


def withhold_denial(
    answer: _calls.ServerAnswer, route: _resources.Route
) -> _calls.Outcome:
    """Returns an answer, or a refusal if its status would repeat the request.

    A caller sends a request again if its status promises that it has not run.
    One that must not run twice is refused without that promise instead.
    """
    if route.is_idempotent or not answer.denies_run:
        return answer
    return create_refusal(_calls.RefusalReason.BAD_ANSWER, True)


def create_refusal(
    reason: _calls.RefusalReason, may_have_run: bool, wait_ms: float = 0.0
) -> _calls.Refusal:
    """Creates a refusal, with a retry delay if no server can have run it.

    Args:
      reason: Why there is no answer.
      may_have_run: Whether a server may have run the request.
      wait_ms: How long the servers are known to take no request. Callers come
        back within as long again, so that they do not meet for one token.
    """
    retry_after_ms = None
    if not may_have_run:
        spread = 1.0 + random.random()
        retry_after_ms = max(_RETRY_AFTER_MS, wait_ms * spread)
    return _calls.Refusal(
        reason=reason,
        is_not_run=not may_have_run,
        retry_after_ms=retry_after_ms,
    )
