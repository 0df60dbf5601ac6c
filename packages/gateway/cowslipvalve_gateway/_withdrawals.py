"""Whether a server has stated that it wants no requests.

Answers the load of requests to servers that are about to end, or that have
rejected requests and named the time to come back: sent on, they fail, and keep
the server from recovering.
"""

import logging
import math

import cowslipvalve_base as base

_MAX_PAUSE_MS = 3_600_000.0

_logger = logging.getLogger(__name__)


class Withdrawal:
    """The newest statements of one start of a server.

    Attributes:
      is_leaving: Whether the server has stated that it leaves.
    """

    def __init__(self, clock: base.Clock, server: str) -> None:
        self._clock = clock
        self._server = server
        self._pause_end_ms = -math.inf
        self.is_leaving = False

    @property
    def is_in_force(self) -> bool:
        """Whether the server is not to be sent requests now."""
        return self.is_leaving or self.pause_ms > 0.0

    @property
    def pause_ms(self) -> float:
        """For how many ms the server takes no requests, unless it leaves."""
        return max(0.0, self._pause_end_ms - self._clock.now_ms())

    def record_leaving(self) -> bool:
        """Records that the server leaves; returns whether that is new."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        base.log_event(_logger, "server-leaving", server=self._server)
        return True

    def record_pause(self, pause_ms: float) -> None:
        """Records for how many ms the server wants no requests."""
        pause_ms = min(_MAX_PAUSE_MS, pause_ms)
        if self.pause_ms <= 0.0 < pause_ms:
            base.log_event(
                _logger,
                "server-paused",
                server=self._server,
                pause_ms=round(pause_ms),
            )
        end_ms = self._clock.now_ms() + pause_ms
        self._pause_end_ms = max(self._pause_end_ms, end_ms)


def create_withdrawal(clock: base.Clock, server: str) -> Withdrawal:
    """Creates the withdrawal of a server that has stated nothing."""
    return Withdrawal(clock, server)
