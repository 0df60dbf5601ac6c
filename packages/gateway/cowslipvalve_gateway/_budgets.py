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
_TOLERANCE = 1e-9  # Covers rounding errors of what requests earn.


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


@attrs.frozen(kw_only=True)
class _SentAttempt:
    """An extra attempt that was sent, with the counts at that time."""

    sent_ms: float
    # The extra attempts that this host ever sent before it.
    attempts: int
    # The requests that this host ever counted before it.
    requests: int

    def compute_lead(self, ratio: float) -> float:
        """Returns how far attempts were ahead of what requests had earned."""
        return self.attempts - ratio * self.requests


class AttemptBudget:
    """Counts the requests and the extra attempts of one service.

    Every host counts its own requests and uses its share of the slack, so
    that all hosts together stay within the bounds without communicating.
    """

    def __init__(self, clock: base.Clock, bounds: BudgetBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        # In order: the times of requests, and the extra attempts.
        self._requests: list[float] = []
        self._sent: list[_SentAttempt] = []
        self._unsent: dict[ExtraAttempt, None] = {}
        # How many there ever were.
        self._request_count = 0
        self._sent_count = 0
        # The sent attempts with a lower lead than all later ones, in order, so
        # that a decision does not have to read all attempts of the window.
        self._lowest: collections.deque[_SentAttempt] = collections.deque()
        # A window that was shortened may be lengthened again.
        self._longest_held_ms = bounds.held_ms

    @property
    def bounds(self) -> BudgetBounds:
        """The bounds, which can be replaced at run time."""
        return self._bounds

    @bounds.setter
    def bounds(self, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._longest_held_ms = max(self._longest_held_ms, bounds.held_ms)
        # The order of leads depends on the ratio.
        self._lowest.clear()
        for attempt in self._sent:
            self._add_lead(attempt)

    @property
    def is_idle(self) -> bool:
        """Whether neither requests nor extra attempts count, or may again."""
        self._evict_expired()
        return not (self._requests or self._unsent or self._sent)

    def add_request(self) -> None:
        """Counts a caller's request."""
        self._requests.append(self._clock.now_ms())
        self._request_count += 1

    def withdraw_request(self) -> None:
        """Withdraws a counted request that another host is to send."""
        if self._requests:
            self._requests.pop()
            self._request_count -= 1

    def compute_remaining(self, share: float) -> float:
        """Returns how many more extra attempts this window allows.

        Args:
          share: This host's share of the slack, 0 to 1.
        """
        self._evict_expired()
        held_from_ms = self._clock.now_ms() - self._bounds.held_ms
        whole = self._compute_allowance(share) - self._count_sent(held_from_ms)
        later = min(self._compute_since_sent(), self._compute_since_taken())
        if later < math.inf:
            # Few requests at a host would else seldom earn a whole attempt.
            later += self._compute_slack(share) - _TOLERANCE
            whole = min(whole, math.ceil(later))
        return whole - len(self._unsent)

    def _compute_since_sent(self) -> float:
        """Returns what requests earned since an attempt, less what was sent.

        It is the least value for any sent attempt of the window. Else callers
        that move from one host to another, or change their load, would earn
        extra attempts at both in the same window.
        """
        if not self._lowest:
            return math.inf
        ratio = self._bounds.ratio
        lead = self._sent_count - ratio * self._request_count
        return self._lowest[0].compute_lead(ratio) - lead

    def _compute_since_taken(self) -> float:
        """Returns the same since the oldest attempt that is not sent yet."""
        if not self._unsent:
            return math.inf
        taken_ms = next(iter(self._unsent)).taken_ms
        earned = self._bounds.ratio * self._count_requests(taken_ms)
        return earned - self._count_sent(taken_ms)

    def _count_requests(self, start_ms: float) -> int:
        """Returns how many requests there were since a time."""
        first = bisect.bisect_left(self._requests, start_ms)
        return len(self._requests) - first

    def _count_sent(self, start_ms: float) -> int:
        """Returns how many extra attempts were sent since a time."""
        first = bisect.bisect_left(self._sent, start_ms, key=_get_sent_ms)
        return len(self._sent) - first

    def _compute_allowance(self, share: float) -> float:
        earned = self._bounds.ratio * len(self._requests)
        return earned + self._compute_slack(share)

    def _compute_slack(self, share: float) -> float:
        return self._bounds.slack * _USABLE_SLACK_SHARE * share

    def _evict_expired(self) -> None:
        now_ms = self._clock.now_ms()
        start_ms = now_ms - self._bounds.window_ms
        del self._requests[: bisect.bisect_left(self._requests, start_ms)]
        kept_ms = now_ms - self._longest_held_ms
        del self._sent[
            : bisect.bisect_left(self._sent, kept_ms, key=_get_sent_ms)
        ]
        held_ms = now_ms - self._bounds.held_ms
        while self._lowest and self._lowest[0].sent_ms < held_ms:
            self._lowest.popleft()

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
        self._unsent[attempt] = None
        return attempt

    def record_sent(self, attempt: ExtraAttempt) -> None:
        """Counts an extra attempt as sent now."""
        self._unsent.pop(attempt, None)
        now_ms = self._clock.now_ms()
        sent = _SentAttempt(
            sent_ms=now_ms,
            attempts=self._sent_count,
            requests=self._request_count - self._count_requests(now_ms),
        )
        self._sent.append(sent)
        self._sent_count += 1
        self._add_lead(sent)

    def refund(self, attempt: ExtraAttempt) -> None:
        """Refunds an extra attempt that was taken but not sent."""
        self._unsent.pop(attempt, None)

    def _add_lead(self, attempt: _SentAttempt) -> None:
        ratio = self._bounds.ratio
        lead = attempt.compute_lead(ratio)
        while self._lowest and self._lowest[-1].compute_lead(ratio) >= lead:
            self._lowest.pop()
        self._lowest.append(attempt)


def _get_sent_ms(attempt: _SentAttempt) -> float:
    return attempt.sent_ms


def create_attempt_budget(
    clock: base.Clock, bounds: BudgetBounds
) -> AttemptBudget:
    """Creates this host's budget for one service."""
    return AttemptBudget(clock, bounds)
