"""Gradual warm-up of freshly started backend servers."""

import cowslipvalve_model as model

_MS_PER_SECOND = 1_000
_SLOW_FACTOR = 4.0  # Cold starts slow a server more than stragglers do.
# Warm servers often have one or two slow answers in a row.
_SLOW_ANSWERS_TO_RESET = 3
_AVERAGE_WEIGHT = 0.05


class WarmUpGate:
    """Limits the query rate of one server while it warms up.

    The rate doubles at intervals while answers are good. It is reset to the
    server's initial rate after a reconnect, a shed request, a new boot id, or
    several slow answers in a row, each of a query that started after the one
    before: a single pause makes all queries slow that run at the time.
    """

    def __init__(self, clock: model.Clock, warm_up: model.WarmUp) -> None:
        self._clock = clock
        self._warm_up = warm_up
        self._rate = warm_up.initial_rate
        # The time of the last doubling, None before the first answer: a server
        # warms up by running queries, not while it is idle.
        self._doubled_ms: float | None = None
        self._next_start_ms = clock.now_ms()
        self._average_ms = 0.0
        self._slow_answers = 0
        self._last_slow_ms = float("-inf")

    @property
    def is_warm(self) -> bool:
        """Whether the server has reached its full rate."""
        return self._rate >= self._warm_up.full_rate

    def delay_ms(self) -> float:
        """Returns the time until the next query may start, in ms."""
        if self.is_warm:
            return 0.0
        return max(0.0, self._next_start_ms - self._clock.now_ms())

    def expected_wait_ms(self, waiting: int) -> float:
        """Returns the time until a new query may start, in ms.

        Args:
          waiting: The number of queries that start before it.
        """
        if self.is_warm:
            return 0.0
        return self.delay_ms() + waiting * _MS_PER_SECOND / self._rate

    def max_concurrency(self, slots: int) -> int:
        """Returns how many requests may run on the server at a time."""
        return slots if self.is_warm else 1

    def record_start(self, queries: int) -> None:
        """Records queries that start now, which delays the next ones."""
        spacing_ms = queries * _MS_PER_SECOND / self._rate
        start_ms = max(self._next_start_ms, self._clock.now_ms())
        self._next_start_ms = start_ms + spacing_ms

    def add_answer(self, latency_ms: float | None) -> bool:
        """Counts a successful answer; returns whether it reset the rate.

        Args:
          latency_ms: The latency per query, None if it does not show whether
            the server is warm.
        """
        if latency_ms is None:
            self._increase_rate()
            return False
        if self._is_slow(latency_ms):
            now_ms = self._clock.now_ms()
            if now_ms - latency_ms < self._last_slow_ms:
                return False
            self._last_slow_ms = now_ms
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
        """Resets the rate, since the server counts as cold again."""
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
    """Returns the gate of a cold server."""
    return WarmUpGate(clock, warm_up)
