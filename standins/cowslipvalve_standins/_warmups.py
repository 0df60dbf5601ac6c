"""Simulates how a stand-in server warms up after its start."""

import collections
import time

_RATE_WINDOW_S = 0.25
_BURST_FACTOR = 2.0  # Allows short bursts above the sustainable rate.
_COLLAPSE_DURATION_S = 1.0
_COLD_SLOWDOWN = 3.0  # Queries on a cold server take this many times as long.


class WarmUpSimulator:
    """The rate that a server sustains while it warms up.

    From the first query on, the rate grows exponentially up to that of a warm
    server. A server that is not yet warm collapses at a higher load: it refuses
    all queries for 1 s and is cold again.
    """

    def __init__(
        self, initial_rate: float, full_rate: float, doubling_ms: float
    ) -> None:
        self._initial_rate = initial_rate
        self._full_rate = full_rate
        self._doubling_s = doubling_ms / 1_000
        self._arrivals: collections.deque[float] = collections.deque()
        self._started_s: float | None = None
        self._collapsed_until_s = 0.0
        self.collapses = 0

    def reset(self) -> None:
        """Makes the server cold; its clients are not notified."""
        self._started_s = None
        self._arrivals.clear()

    @property
    def slowdown(self) -> float:
        """The factor by which a query takes longer than on a warm server."""
        return (
            1.0
            if self._get_sustainable_rate() >= self._full_rate
            else _COLD_SLOWDOWN
        )

    def admit(self, queries: int) -> bool:
        """Counts arriving queries; returns whether the server accepts them."""
        now = time.monotonic()
        if now < self._collapsed_until_s:
            return False
        if self._started_s is None:
            self._started_s = now
        self._arrivals.extend([now] * queries)
        while self._arrivals and self._arrivals[0] < now - _RATE_WINDOW_S:
            self._arrivals.popleft()
        rate = self._get_sustainable_rate()
        allowed = max(2.0, _BURST_FACTOR * rate * _RATE_WINDOW_S)
        if rate < self._full_rate and len(self._arrivals) > allowed:
            self.collapses += 1
            self._collapsed_until_s = now + _COLLAPSE_DURATION_S
            self.reset()
            return False
        return True

    def _get_sustainable_rate(self) -> float:
        if self._started_s is None:
            return self._initial_rate
        age = time.monotonic() - self._started_s
        return min(
            self._full_rate, self._initial_rate * 2 ** (age / self._doubling_s)
        )


def create_warm_up_simulator(
    initial_rate: float, full_rate: float, doubling_ms: float
) -> WarmUpSimulator:
    """Returns the simulator of a cold server; rates are queries per second."""
    return WarmUpSimulator(initial_rate, full_rate, doubling_ms)
