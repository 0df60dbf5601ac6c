"""How late this process gets to its work."""

import collections

import mode

import cowslipvalve_base as base

_PERIOD_MS = 100.0  # A fan-out over 100 shards takes as long on half a core.
_KEPT_SAMPLES = 10


class LoopLag(mode.Service):
    """Measures how late timers of the event loop are.

    Requests wait as long, unread, while the process is busy.
    """

    def __init__(self, clock: base.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._samples_ms: collections.deque[float] = collections.deque(
            maxlen=_KEPT_SAMPLES
        )

    @property
    def recent_ms(self) -> float:
        """Returns the greatest lag of the last second."""
        return max(self._samples_ms, default=0.0)

    def add(self, lag_ms: float) -> None:
        """Takes a measured lag."""
        self._samples_ms.append(lag_ms)

    @mode.Service.task
    async def _measure(self) -> None:
        while not self.should_stop:
            due_ms = self._clock.now_ms() + _PERIOD_MS
            await self._clock.sleep_ms(_PERIOD_MS)
            self.add(self._clock.now_ms() - due_ms)


def create_loop_lag(clock: base.Clock) -> LoopLag:
    """Returns a measurement that is not started."""
    return LoopLag(clock)
