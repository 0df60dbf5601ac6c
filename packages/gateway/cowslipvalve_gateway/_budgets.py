"""The bound on what hosts send beyond the first attempt of each request."""

import collections

import attrs

import cowslipvalve_base as base

_HEDGE_RESERVE = 2.0  # Extra attempts that hedges leave to retries.
_HEDGE_RESERVE_SHARE = 0.25  # Of a share that is too small to leave so many.
# Left over for hosts that restart and forget their window.
_USABLE_SLACK_SHARE = 0.8


@attrs.frozen(kw_only=True)
class BudgetBounds:
    """What all hosts together may send to one service."""

    # The extra attempts for each request of callers.
    ratio: float
    # The extra attempts that are allowed in each window besides.
    slack: float
    # The length of the sliding window.
    window_ms: float


class AttemptBudget:
    """Counts the requests and the extra attempts of one service.

    Every host counts its own requests and takes its part of the slack, so that
    the sum over all hosts keeps the bound without messages between them.

    Attributes:
      bounds: The bounds, which may be changed.
    """

    def __init__(self, clock: base.Clock, bounds: BudgetBounds) -> None:
        self._clock = clock
        self.bounds = bounds
        self._requests: collections.deque[float] = collections.deque()
        self._extra_attempts: collections.deque[float] = collections.deque()

    @property
    def is_idle(self) -> bool:
        """Whether nothing was sent in the last window."""
        self._evict_expired()
        return not (self._requests or self._extra_attempts)

    def add_request(self) -> None:
        """Counts a request of a caller."""
        self._requests.append(self._clock.now_ms())

    def compute_remaining(self, hosts: int) -> float:
        """Returns the extra attempts that are left in this window.

        Args:
          hosts: The number of hosts that share the slack.
        """
        self._evict_expired()
        return self._compute_allowance(hosts) - len(self._extra_attempts)

    def _compute_allowance(self, hosts: int) -> float:
        slack = self.bounds.slack * _USABLE_SLACK_SHARE / max(1, hosts)
        return self.bounds.ratio * len(self._requests) + slack

    def _evict_expired(self) -> None:
        start_ms = self._clock.now_ms() - self.bounds.window_ms
        for times in (self._requests, self._extra_attempts):
            while times and times[0] < start_ms:
                times.popleft()

    def try_take(self, hosts: int, is_hedge: bool = False) -> bool:
        """Takes one extra attempt, if there is one; a hedge leaves some."""
        remaining = self.compute_remaining(hosts)
        if is_hedge:
            remaining -= min(
                _HEDGE_RESERVE,
                _HEDGE_RESERVE_SHARE * self._compute_allowance(hosts),
            )
        if remaining < 1.0:
            return False
        self._extra_attempts.append(self._clock.now_ms())
        return True

    def refund(self) -> None:
        """Returns an extra attempt that was taken and not sent."""
        if self._extra_attempts:
            self._extra_attempts.pop()


def create_attempt_budget(
    clock: base.Clock, bounds: BudgetBounds
) -> AttemptBudget:
    """Returns the budget of one service on this host."""
    return AttemptBudget(clock, bounds)
