"""How a freshly started backend server is brought up to full load."""

import cowslipvalve_model as model

_MS_PER_SECOND = 1_000
_SLOW_FACTOR = 4.0  # A cold start slows a server by more than stragglers do.
_SLOW_ANSWERS_TO_RESET = (
    3  # Stragglers of one or two answers are common when warm.
)
_AVERAGE_WEIGHT = 0.05


class WarmUpGate:
    """Paces the work of one server by a rate that doubles with good answers.

    The rate starts anew from the server's initial one after a reconnect, a
    shed, a new boot id, or several slow answers in a row.
    """

    def __init__(self, clock: model.Clock, warm_up: model.WarmUp) -> None:
        self._clock = clock
        self._warm_up = warm_up
        self._rate = warm_up.initial_rate
        # The time of the last doubling, none before the first answer: a server
        # warms up by working, not by waiting for work.
        self._doubled_ms: float | None = None
        self._next_start_ms = clock.now_ms()
        self._average_ms = 0.0
        self._slow_answers = 0

    @property
    def is_warm(self) -> bool:
        """Whether the server takes its full load."""
        return self._rate >= self._warm_up.full_rate

    def delay_ms(self) -> float:
        """Returns the time until the next query may start."""
        if self.is_warm:
            return 0.0
        return max(0.0, self._next_start_ms - self._clock.now_ms())

    def expected_wait_ms(self, waiting: int) -> float:
        """Returns the time until a query behind the waiting ones may start."""
        if self.is_warm:
            return 0.0
        return self.delay_ms() + waiting * _MS_PER_SECOND / self._rate

    def concurrency(self, slots: int) -> int:
        """Returns how many requests may run at a time."""
        return slots if self.is_warm else 1

    def record_start(self, queries: int) -> None:
        """Counts queries that start now."""
        spacing_ms = queries * _MS_PER_SECOND / self._rate
        start_ms = max(self._next_start_ms, self._clock.now_ms())
        self._next_start_ms = start_ms + spacing_ms

    def add_answer(self, latency_ms: float | None) -> bool:
        """Counts a good answer; returns whether it sent the rate back.

        Args:
          latency_ms: The time of a query, none if it says nothing of the
            server's warmth.
        """
        if latency_ms is None:
            self._increase_rate()
            return False
        if self._is_slow(latency_ms):
            self._slow_answers += 1
            if self._slow_answers >= _SLOW_ANSWERS_TO_RESET:
                self.reset()
                return True
            return False
        self._slow_answers = 0
        self._average_ms += _AVERAGE_WEIGHT * (latency_ms - self._average_ms)
        self._increase_rate()
        return False

    def reset(self) -> None:
        """Treats the server as cold."""
        now_ms = self._clock.now_ms()
        self._rate = self._warm_up.initial_rate
        self._doubled_ms = None
        self._next_start_ms = now_ms + _MS_PER_SECOND / self._rate
        self._average_ms = 0.0
        self._slow_answers = 0

    def _is_slow(self, latency_ms: float) -> bool:
        if not self.is_warm:
            return False
        if self._average_ms == 0.0:
            self._average_ms = latency_ms
        return latency_ms > _SLOW_FACTOR * self._average_ms

    def _increase_rate(self) -> None:
        now_ms = self._clock.now_ms()
        if self._doubled_ms is None:
            self._doubled_ms = now_ms
        if self.is_warm:
            return
        if now_ms - self._doubled_ms < self._warm_up.doubling_ms:
            return
        self._rate *= 2
        self._doubled_ms = now_ms
        self._average_ms = 0.0


def create_warm_up_gate(
    clock: model.Clock, warm_up: model.WarmUp
) -> WarmUpGate:
    """Returns the gate of a server that counts as cold."""
    return WarmUpGate(clock, warm_up)
