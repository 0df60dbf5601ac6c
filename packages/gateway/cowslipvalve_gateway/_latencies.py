"""Recent latencies of one route to one failure domain."""

import collections
import statistics

_MAX_SAMPLES = 200  # About ten queries of twenty shards.
_REFRESH_SAMPLES = 20
_PERCENTILE_COUNT = 100


class RecentLatencies:
    """Percentiles of the last samples, computed anew after some of them."""

    def __init__(self, default_ms: float) -> None:
        self._default_ms = default_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._percentiles_ms: list[float] = []
        self._added_since_refresh = 0

    @property
    def has_percentiles(self) -> bool:
        """Whether percentiles come from samples."""
        return bool(self._percentiles_ms)

    def add(self, latency_ms: float) -> None:
        """Adds a sample."""
        self._samples.append(latency_ms)
        self._added_since_refresh += 1
        if self._added_since_refresh >= _REFRESH_SAMPLES:
            self._added_since_refresh = 0
            self._percentiles_ms = statistics.quantiles(
                self._samples, n=_PERCENTILE_COUNT
            )

    def percentile_ms(self, percent: int) -> float:
        """Returns a percentile from 1 to 99, the default while samples lack."""
        return (
            self._percentiles_ms[percent - 1]
            if self._percentiles_ms
            else self._default_ms
        )
