"""Counts extra arrivals at a service as the users' rule on retries does."""

import bisect
from collections.abc import Iterable, Sequence

import attrs

from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _wireserver

_WINDOW_MS = _hostprocesses.BUDGET_WINDOW_S * 1_000.0


@attrs.frozen(kw_only=True)
class WindowUse:
    """The extra arrivals of one window and those that are allowed."""

    # When the window ended, in ms of the loop's clock.
    end_ms: float
    # The arrivals beyond the first one of each request.
    extra: int
    # The extra arrivals that are allowed.
    allowed: float

    @property
    def excess(self) -> float:
        """The extra arrivals beyond those allowed; negative if below."""
        return self.extra - self.allowed


def find_worst_window(
    extra_ms: Sequence[float], sent_ms: Iterable[float]
) -> WindowUse:
    """Returns the window with the most extra arrivals beyond those allowed.

    Args:
      extra_ms: When extra arrivals came to the servers of one service, in
        ascending order; rejected ones are included.
      sent_ms: When callers sent their requests for the service.
    """
    requests_ms = sorted(sent_ms)
    worst = WindowUse(end_ms=0.0, extra=0, allowed=_hostprocesses.BUDGET_SLACK)
    for index, end_ms in enumerate(extra_ms):
        start_ms = end_ms - _WINDOW_MS
        extra = index + 1 - bisect.bisect_left(extra_ms, start_ms)
        # The window itself, the one half a window before it, the one before.
        requests = max(
            _count(requests_ms, start_ms - shift * _WINDOW_MS)
            for shift in (0.0, 0.5, 1.0)
        )
        allowed = (
            _hostprocesses.BUDGET_SLACK + _hostprocesses.BUDGET_RATIO * requests
        )
        use = WindowUse(end_ms=end_ms, extra=extra, allowed=allowed)
        worst = max(worst, use, key=lambda u: u.excess)
    return worst


def find_extra(arrivals: Iterable[_wireserver.ReceivedRequest]) -> list[float]:
    """Returns the times of all arrivals but the first of each request."""
    seen_ids: set[str] = set()
    extra_ms = []
    for request in sorted(arrivals, key=lambda r: r.read_ms):
        request_id = request.headers["request-id"]
        if request_id in seen_ids:
            extra_ms.append(request.read_ms)
        seen_ids.add(request_id)
    return extra_ms


def _count(times_ms: Sequence[float], start_ms: float) -> int:
    first = bisect.bisect_left(times_ms, start_ms)
    return bisect.bisect_right(times_ms, start_ms + _WINDOW_MS) - first
