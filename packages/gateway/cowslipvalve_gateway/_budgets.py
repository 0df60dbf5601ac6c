"""Budgets that bound the retries and hedges that hosts send to a service.

An extra attempt is any attempt after the first one of a request.
"""

import collections
import enum

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


@attrs.define(kw_only=True, eq=False)
class ExtraAttempt:
    """An extra attempt that was allowed."""

    # When it was sent, on the process's clock; None before that.
    sent_ms: float | None = None


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
        self._unsent: set[ExtraAttempt] = set()
        self._sent: collections.deque[ExtraAttempt] = collections.deque()

    @property
    def is_idle(self) -> bool:
        """Whether no request or extra attempt is in the current window."""
        self._evict_expired()
        return not (self._requests or self._unsent or self._sent)

    def add_request(self) -> None:
        """Counts a caller's request."""
        self._requests.append(self._clock.now_ms())

    def compute_remaining(self, share: float) -> float:
        """Returns how many more extra attempts this window allows.

        Args:
          share: This host's share of the slack, 0 to 1.
        """
        self._evict_expired()
        taken = len(self._unsent) + len(self._sent)
        return self._compute_allowance(share) - taken

    def _compute_allowance(self, share: float) -> float:
        slack = self.bounds.slack * _USABLE_SLACK_SHARE * share
        return self.bounds.ratio * len(self._requests) + slack

    def _evict_expired(self) -> None:
        now_ms = self._clock.now_ms()
        while self._requests and (
            self._requests[0] < now_ms - self.bounds.window_ms
        ):
            self._requests.popleft()
        while self._sent and (
            (self._sent[0].sent_ms or 0.0) < now_ms - self.bounds.held_ms
        ):
            self._sent.popleft()

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
        attempt = ExtraAttempt()
        self._unsent.add(attempt)
        return attempt

    def record_sent(self, attempt: ExtraAttempt) -> None:
        """Counts an extra attempt as sent now."""
        self._unsent.discard(attempt)
        attempt.sent_ms = self._clock.now_ms()
        self._sent.append(attempt)

    def refund(self, attempt: ExtraAttempt) -> None:
        """Refunds an extra attempt that was taken but not sent."""
        self._unsent.discard(attempt)


def create_attempt_budget(
    clock: base.Clock, bounds: BudgetBounds
) -> AttemptBudget:
    """Creates this host's budget for one service."""
    return AttemptBudget(clock, bounds)
