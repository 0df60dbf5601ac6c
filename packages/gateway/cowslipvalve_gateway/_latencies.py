"""Recent latencies of one route to one failure domain."""

import collections
import statistics

_KEPT_SAMPLES = 200  # About ten queries of twenty shards.
_REFRESH_SAMPLES = 20
_PERCENTILES = 100


class RecentLatencies:
    """Percentiles of the last samples, computed anew after some of them."""

    def __init__(self, default_ms: float) -> None:
        self._default_ms = default_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_KEPT_SAMPLES
        )
        self._cuts: list[float] = []
        self._added = 0

    @property
    def is_known(self) -> bool:
        """Whether percentiles come from samples."""
        return bool(self._cuts)

    def add(self, latency_ms: float) -> None:
        """Adds a sample."""
        self._samples.append(latency_ms)
        self._added += 1
        if self._added >= _REFRESH_SAMPLES:
            self._added = 0
            self._cuts = statistics.quantiles(self._samples, n=_PERCENTILES)

    def percentile_ms(self, percent: int) -> float:
        """Returns a percentile from 1 to 99, the default while samples lack."""
        return self._cuts[percent - 1] if self._cuts else self._default_ms
