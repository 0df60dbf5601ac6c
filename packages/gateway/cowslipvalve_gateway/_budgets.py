"""Budgets that bound the retries and hedges that hosts send to a service.

An extra attempt is any attempt after the first one of a request.
"""

import collections

import attrs

import cowslipvalve_base as base

_HEDGE_RESERVE = 2.0  # Extra attempts that hedges leave for retries.
_HEDGE_RESERVE_SHARE = 0.25  # Of the allowance, where that is less.
# The rest covers hosts that restart with an empty window.
_USABLE_SLACK_SHARE = 0.8


@attrs.frozen(kw_only=True)
class BudgetBounds:
    """Bounds on the extra attempts that all hosts send to one service."""

    # The extra attempts that are allowed per caller request.
    ratio: float
    # The extra attempts that are allowed in each window in addition.
    slack: float
    # The length of the sliding window in ms.
    window_ms: float


class AttemptBudget:
    """Counts the requests and the extra attempts of one service.

    Every host counts its own requests and uses its share of the slack, so
    that all hosts together stay within the bounds without communicating.

    Attributes:
      bounds: The bounds, which can be replaced at run time.
    """

    def __init__(self, clock: base.Clock, bounds: BudgetBounds) -> None:
        self._clock = clock
        self.bounds = bounds
        self._requests: collections.deque[float] = collections.deque()
        self._extra_attempts: collections.deque[float] = collections.deque()

    @property
    def is_idle(self) -> bool:
        """Whether no request or extra attempt is in the current window."""
        self._evict_expired()
        return not (self._requests or self._extra_attempts)

    def add_request(self) -> None:
        """Counts a caller's request."""
        self._requests.append(self._clock.now_ms())

    def withdraw_request(self) -> None:
        """Withdraws a counted request that another host is to send."""
        if self._requests:
            self._requests.pop()

    def compute_remaining(self, hosts: float) -> float:
        """Returns how many more extra attempts this window allows.

        Args:
          hosts: The number of hosts that share the slack, or the reciprocal
            of this host's share where the shares differ.
        """
        self._evict_expired()
        return self._compute_allowance(hosts) - len(self._extra_attempts)

    def _compute_allowance(self, hosts: float) -> float:
        slack = self.bounds.slack * _USABLE_SLACK_SHARE / max(1, hosts)
        return self.bounds.ratio * len(self._requests) + slack

    def _evict_expired(self) -> None:
        start_ms = self._clock.now_ms() - self.bounds.window_ms
        for times in (self._requests, self._extra_attempts):
            while times and times[0] < start_ms:
                times.popleft()

    def try_take(self, hosts: float, is_hedge: bool = False) -> bool:
        """Takes one extra attempt if allowed; hedges leave some for retries."""
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
        """Refunds an extra attempt that was taken but not sent."""
        if self._extra_attempts:
            self._extra_attempts.pop()


def create_attempt_budget(
    clock: base.Clock, bounds: BudgetBounds
) -> AttemptBudget:
    """Creates this host's budget for one service."""
    return AttemptBudget(clock, bounds)
