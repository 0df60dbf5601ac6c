"""The rate limit that a server states, and this host's use of it."""

import logging
import math

import cowslipvalve_base as base
from cowslipvalve_gateway import _hosthealth
from cowslipvalve_gateway import _limitshares

NO_LIMIT = math.inf
_MS_PER_S = 1_000.0
# How long a host that refused a permit is not asked again: doubled after each
# further refusal, as busy hosts use their tokens themselves.
_FIRST_REFUSAL_MS = 50.0
_MAX_REFUSAL_MS = 2_000.0

_logger = logging.getLogger(__name__)


class RateLimit:
    """The newest limit that a server has stated, with a token bucket.

    Each request to the server takes a token of the hosts' shares.

    Attributes:
      requests_per_s: The requests per second that the server takes from all
        hosts together, NO_LIMIT if it states none.
      stated_ms: When the server last stated it, on the process's clock; the
        latest time at which it certainly stated none, if it states none.
      lenders: Which other hosts have recently had no token for this one.
      announced_ms: When this host last told others of the limit.
    """

    def __init__(self, clock: base.Clock, server: str) -> None:
        self._clock = clock
        self._server = server
        # None before the first share: a host that has just started may have
        # used its share before, so its tokens are counted from then on.
        self._share: _limitshares.LimitShare | None = None
        self._tokens = 0.0
        self._refilled_ms = clock.now_ms()
        self.requests_per_s = NO_LIMIT
        self.stated_ms = -math.inf
        self.lenders = self._create_lenders()
        self.announced_ms = -math.inf

    @property
    def is_stated(self) -> bool:
        """Whether the server states a limit."""
        return self.requests_per_s < NO_LIMIT

    def record(self, requests_per_s: float, sent_ms: float) -> bool:
        """Records what an answer states; returns whether the limit changed.

        An answer without a limit ends an earlier one only if its request was
        sent after that was stated, as answers may overtake each other.

        Args:
          requests_per_s: The limit, NO_LIMIT if the answer states none.
          sent_ms: When the request was sent, on the process's clock.
        """
        is_end = self.is_stated and requests_per_s == NO_LIMIT
        if is_end and sent_ms <= self.stated_ms:
            return False
        if requests_per_s == NO_LIMIT:
            # The server may have begun to state a limit while it answered.
            stated_ms = max(sent_ms, self.stated_ms)
        else:
            stated_ms = self._clock.now_ms()
        return self._replace(requests_per_s, stated_ms)

    def learn(self, requests_per_s: float, stated_ms: float) -> bool:
        """Takes a change that another host knows; returns whether it is one."""
        if stated_ms <= self.stated_ms:
            return False
        return self._replace(requests_per_s, stated_ms)

    def set_share(self, share: _limitshares.LimitShare) -> None:
        """Replaces this host's share of the limit."""
        now_ms = self._clock.now_ms()
        elapsed_s = base.to_seconds(now_ms - self._refilled_ms)
        self._tokens += elapsed_s * (self._share or share).requests_per_s
        self._tokens = min(self._tokens, share.burst)
        self._refilled_ms = now_ms
        self._share = share

    def has_tokens(self, count: float) -> bool:
        """Whether the bucket holds some tokens since the last set_share."""
        return self._tokens >= count

    def take(self) -> None:
        """Takes one token."""
        self._tokens -= 1.0

    def refund(self) -> None:
        """Returns the token of a request that was not sent."""
        self._tokens += 1.0

    def compute_token_wait_ms(self) -> float:
        """Returns when this host's share has a token, infinite without one."""
        if self._share is None or not self._share.requests_per_s:
            return math.inf
        lacking = max(0.0, 1.0 - self._tokens)
        return lacking / self._share.requests_per_s * _MS_PER_S

    def _create_lenders(self) -> _hosthealth.HostHealth:
        return _hosthealth.create_host_health(
            self._clock, _FIRST_REFUSAL_MS, _MAX_REFUSAL_MS
        )

    def _replace(self, requests_per_s: float, stated_ms: float) -> bool:
        old = self.requests_per_s
        self.requests_per_s = requests_per_s
        self.stated_ms = stated_ms
        if requests_per_s != old:
            self.lenders = self._create_lenders()
        if requests_per_s != old:
            base.log_event(
                _logger,
                "server-limit",
                server=self._server,
                old=old,
                requests_per_s=requests_per_s,
            )
        return requests_per_s != old


def create_rate_limit(clock: base.Clock, server: str) -> RateLimit:
    """Creates the limit of a server that has stated none."""
    return RateLimit(clock, server)
