"""Measurement of event loop lag."""

import collections

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _restarts

# A fan-out over 100 shards takes this long on half a core.
_SAMPLE_PERIOD_MS = 100.0
_MAX_SAMPLES = 10
# The event loop may have caught up since its lag was measured.
_MAX_LAG_SHARE = 0.5
# A single pause delays one sample. What came during it is read and handled
# before the next one.
_LATEST_SAMPLES = 2


class LoopLag(mode.Service):
    """Measures how late the event loop runs its timers.

    While the process is busy, requests wait unread for about as long.
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
        """The greatest lag of the last second, in ms."""
        return max((self._present_ms, *self._samples_ms))

    @property
    def lasting_ms(self) -> float:
        """The lag that does not end by itself after one pause, in ms."""
        if len(self._samples_ms) < _LATEST_SAMPLES:
            return 0.0
        return min(self._latest_ms)

    @property
    def unread_ms(self) -> float:
        """How long a request that has just been read may have waited, in ms."""
        return max((self._present_ms, *self._latest_ms))

    @property
    def _present_ms(self) -> float:
        """The lag of a timer that is now overdue.

        After a long iteration the event loop reads requests before it runs
        timers.
        """
        return max(0.0, self._clock.now_ms() - self._due_ms)

    @property
    def _latest_ms(self) -> list[float]:
        return list(self._samples_ms)[-_LATEST_SAMPLES:]

    def compute_wait_ms(self, remaining_ms: float) -> float:
        """Returns how long a request that has just been read waited unread.

        Servers must not be given time that has already passed.

        Args:
          remaining_ms: The time that the request had left when it was sent.
        """
        return min(self.unread_ms, remaining_ms * _MAX_LAG_SHARE)

    @mode.Service.task
    @_restarts.restart_on_error
    async def _measure(self) -> None:
        while not self.should_stop:
            self._due_ms = self._clock.now_ms() + _SAMPLE_PERIOD_MS
            await self._clock.sleep_ms(_SAMPLE_PERIOD_MS)
            self._samples_ms.append(self._clock.now_ms() - self._due_ms)


def create_loop_lag(clock: base.Clock) -> LoopLag:
    """Creates a lag measurement that is not started."""
    return LoopLag(clock)
