"""The rate limit that a server states in its answers."""

import logging
import math

import cowslipvalve_base as base

NO_LIMIT = math.inf

_logger = logging.getLogger(__name__)


class RateLimit:
    """The newest limit that a server has stated.

    Attributes:
      requests_per_s: The requests per second that the server takes from all
        hosts together, NO_LIMIT if it states none.
      stated_ms: When the server last stated it, on the process's clock.
    """

    def __init__(self, clock: base.Clock, server: str) -> None:
        self._clock = clock
        self._server = server
        self.requests_per_s = NO_LIMIT
        self.stated_ms = -math.inf

    @property
    def is_stated(self) -> bool:
        """Whether the server states a limit."""
        return self.requests_per_s < NO_LIMIT

    def record(self, requests_per_s: float, sent_ms: float) -> None:
        """Records what an answer states.

        An answer without a limit ends an earlier one only if its request was
        sent after that was stated, as answers may overtake each other.

        Args:
          requests_per_s: The limit, NO_LIMIT if the answer states none.
          sent_ms: When the request was sent, on the process's clock.
        """
        if requests_per_s == NO_LIMIT and sent_ms <= self.stated_ms:
            return
        self._replace(requests_per_s, self._clock.now_ms())

    def _replace(self, requests_per_s: float, stated_ms: float) -> None:
        old = self.requests_per_s
        self.requests_per_s = requests_per_s
        self.stated_ms = stated_ms
        if requests_per_s != old:
            base.log_event(
                _logger,
                "server-limit",
                server=self._server,
                old=old,
                requests_per_s=requests_per_s,
            )


def create_rate_limit(clock: base.Clock, server: str) -> RateLimit:
    """Creates the limit of a server that has stated none."""
    return RateLimit(clock, server)
