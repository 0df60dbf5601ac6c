"""Budgets that bound the retries and hedges that hosts send to a service.

An extra attempt is any attempt after the first one of a request.
"""

import bisect
import collections
import enum
import math

import attrs

import cowslipvalve_base as base

_HEDGE_RESERVE = 2.0  # Extra attempts that hedges leave for retries.
_HEDGE_RESERVE_SHARE = 0.25  # Of the allowance, where that is less.
# The rest covers callers' requests that move from one host to another within a
# window, and hosts that join while others are cut off and count without them.
_USABLE_SLACK_SHARE = 0.8
# A packet that is lost once arrives that much later than it was sent.
_ARRIVAL_MARGIN_MS = 500.0


@attrs.frozen(kw_only=True)
class BudgetBounds:
    """Bounds on the extra attempts that all hosts send to one service."""

    # The extra attempts that are allowed per caller request.
    ratio: float
    # The extra attempts that are allowed in each window in addition.
    slack: float
    # The length of the sliding window in ms.
    window_ms: float

    @property
    def held_ms(self) -> float:
        """For how long an extra attempt counts after it was sent, in ms."""
        return self.window_ms + _ARRIVAL_MARGIN_MS


class Denial(enum.Enum):
    """Why an extra attempt is not allowed."""

    # This host has no share of the slack yet, and few requests of its own.
    NO_SHARE = "no_share"
    # What is left is for retries, and the attempt is a hedge.
    RESERVED = "reserved"
    USED_UP = "used_up"


@attrs.frozen(kw_only=True, eq=False)
class ExtraAttempt:
    """An extra attempt that was allowed, to be sent or refunded."""

    # When it was taken from the budget, on the process's clock.
    taken_ms: float


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
        # The times of requests and of sent extra attempts, in order.
        self._requests: list[float] = []
        self._sent: list[float] = []
        self._unsent: set[ExtraAttempt] = set()
        # The extra attempts that requests have earned, less those sent.
        self._level = 0.0
        # The times of sent extra attempts and the levels before them, without
        # those that a later and greater level makes irrelevant.
        self._levels: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # A window that was shortened may be lengthened again.
        self._longest_held_ms = bounds.held_ms

    @property
    def is_idle(self) -> bool:
        """Whether neither requests nor extra attempts count, or may again."""
        self._evict_expired()
        return not (self._requests or self._unsent or self._sent)

    def add_request(self) -> None:
        """Counts a caller's request."""
        self._requests.append(self._clock.now_ms())
        self._level += self.bounds.ratio

    def withdraw_request(self) -> None:
        """Withdraws a counted request that another host is to send."""
        if self._requests:
            self._requests.pop()
            self._level -= self.bounds.ratio

    def compute_remaining(self, share: float) -> float:
        """Returns how many more extra attempts this window allows.

        Args:
          share: This host's share of the slack, 0 to 1.
        """
        self._evict_expired()
        sent = self._count_sent(self.bounds.held_ms)
        whole = self._compute_allowance(share) - sent
        since = self._compute_since(self._compute_slack(share))
        return min(whole, since) - len(self._unsent)

    def _compute_since(self, slack: float) -> float:
        """Returns the least that is left since any extra attempt of the window.

        Requests before that attempt count for the whole window only, because
        callers that moved to another host since earn extra attempts there.
        """
        if not self._levels:
            return math.inf
        _, greatest = self._levels[0]
        # Few requests at a host would else seldom earn a whole attempt.
        return math.ceil(slack + self._level - greatest)

    def _count_sent(self, duration_ms: float) -> int:
        start_ms = self._clock.now_ms() - duration_ms
        return len(self._sent) - bisect.bisect_left(self._sent, start_ms)

    def _compute_allowance(self, share: float) -> float:
        earned = self.bounds.ratio * len(self._requests)
        return earned + self._compute_slack(share)

    def _compute_slack(self, share: float) -> float:
        return self.bounds.slack * _USABLE_SLACK_SHARE * share

    def _evict_expired(self) -> None:
        now_ms = self._clock.now_ms()
        _evict_before(self._requests, now_ms - self.bounds.window_ms)
        self._longest_held_ms = max(self._longest_held_ms, self.bounds.held_ms)
        _evict_before(self._sent, now_ms - self._longest_held_ms)
        start_ms = now_ms - self.bounds.held_ms
        while self._levels and self._levels[0][0] < start_ms:
            self._levels.popleft()

    def find_denial(
        self, share: float, is_hedge: bool = False
    ) -> Denial | None:
        """Returns why an extra attempt is not allowed, None if it is.

        Hedges leave some attempts for retries.
        """
        remaining = self.compute_remaining(share)
        if remaining < 1.0:
            return Denial.USED_UP if share else Denial.NO_SHARE
        reserve = min(
            _HEDGE_RESERVE,
            _HEDGE_RESERVE_SHARE * self._compute_allowance(share),
        )
        if is_hedge and remaining - reserve < 1.0:
            return Denial.RESERVED
        return None

    def take(self) -> ExtraAttempt:
        """Takes one extra attempt; it counts until it is sent and after that.

        Only to be called if there is no denial.
        """
        attempt = ExtraAttempt(taken_ms=self._clock.now_ms())
        self._unsent.add(attempt)
        return attempt

    def record_sent(self, attempt: ExtraAttempt) -> None:
        """Counts an extra attempt as sent now."""
        self._unsent.discard(attempt)
        now_ms = self._clock.now_ms()
        self._sent.append(now_ms)
        # The request of the attempt counts as one since then.
        level = self._level - self.bounds.ratio
        while self._levels and self._levels[-1][1] <= level:
            self._levels.pop()
        self._levels.append((now_ms, level))
        self._level -= 1.0

    def refund(self, attempt: ExtraAttempt) -> None:
        """Refunds an extra attempt that was taken but not sent."""
        self._unsent.discard(attempt)


def _evict_before(times_ms: list[float], start_ms: float) -> None:
    del times_ms[: bisect.bisect_left(times_ms, start_ms)]


def create_attempt_budget(
    clock: base.Clock, bounds: BudgetBounds
) -> AttemptBudget:
    """Creates this host's budget for one service."""
    return AttemptBudget(clock, bounds)
