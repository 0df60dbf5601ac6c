"""How late this process gets to its work."""

import collections

import mode

import cowslipvalve_base as base

# A fan-out over 100 shards takes as long on half a core.
_SAMPLE_PERIOD_MS = 100.0
_MAX_SAMPLES = 10


class LoopLag(mode.Service):
    """Measures how late timers of the event loop are.

    Requests wait as long, unread, while the process is busy.
    """

    def __init__(self, clock: base.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._samples_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._due_ms = float("inf")

    @property
    def recent_ms(self) -> float:
        """Returns the greatest lag of the last second, the present one too.

        After a long turn of the event loop requests are read before timers.
        """
        present_ms = max(0.0, self._clock.now_ms() - self._due_ms)
        return max((present_ms, *self._samples_ms))

    @mode.Service.task
    async def _measure(self) -> None:
        while not self.should_stop:
            self._due_ms = self._clock.now_ms() + _SAMPLE_PERIOD_MS
            await self._clock.sleep_ms(_SAMPLE_PERIOD_MS)
            self._samples_ms.append(self._clock.now_ms() - self._due_ms)


def create_loop_lag(clock: base.Clock) -> LoopLag:
    """Returns a measurement that is not started."""
    return LoopLag(clock)
