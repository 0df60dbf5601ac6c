"""Recent latencies of one route in one failure domain."""

import collections
import statistics

_MAX_SAMPLES = 200  # About ten queries of twenty shards each.
_REFRESH_SAMPLES = 20
_PERCENTILE_COUNT = 100


class RecentLatencies:
    """Percentiles of the most recent samples, refreshed every 20 samples."""

    def __init__(self, default_ms: float) -> None:
        self._default_ms = default_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._percentiles_ms: list[float] = []
        self._added_since_refresh = 0

    @property
    def has_percentiles(self) -> bool:
        """Whether percentiles are based on samples, not on the default."""
        return bool(self._percentiles_ms)

    def add(self, latency_ms: float) -> None:
        """Adds a latency sample."""
        self._samples.append(latency_ms)
        self._added_since_refresh += 1
        if self._added_since_refresh >= _REFRESH_SAMPLES:
            self._added_since_refresh = 0
            self._percentiles_ms = statistics.quantiles(
                self._samples, n=_PERCENTILE_COUNT
            )

    def percentile_ms(self, percent: int) -> float:
        """Returns a percentile from 1 to 99, or the default without samples."""
        return (
            self._percentiles_ms[percent - 1]
            if self._percentiles_ms
            else self._default_ms
        )
