"""Recent latencies of a search."""

from typing import Any

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_DIGITS = 2
_WINDOW_SAMPLES = 2_000
_US_PER_MS = 1_000


class LatencyWindow:
    """Percentiles over the last one to two windows of samples."""

    def __init__(self, default_ms: float, minimum_samples: int) -> None:
        self._default_ms = default_ms
        self._minimum_samples = minimum_samples
        self._current = _create_histogram()
        self._previous = _create_histogram()
        self._cached: dict[float, float] = {}

    def add(self, latency_ms: float) -> None:
        """Adds a sample."""
        value = max(_LOWEST_US, int(latency_ms * _US_PER_MS))
        self._current.record_value(min(value, _HIGHEST_US))
        if self._current.get_total_count() >= _WINDOW_SAMPLES:
            self._previous = self._current
            self._current = _create_histogram()
            self._cached.clear()

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile, the default while samples are few."""
        source = self._previous
        if source.get_total_count() == 0:
            source = self._current
            if source.get_total_count() < self._minimum_samples:
                return self._default_ms
            return (
                float(source.get_value_at_percentile(percentile)) / _US_PER_MS
            )
        if percentile not in self._cached:
            value = float(source.get_value_at_percentile(percentile))
            self._cached[percentile] = value / _US_PER_MS
        return self._cached[percentile]


def _create_histogram() -> Any:
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def create_latency_window(
    default_ms: float, minimum_samples: int = 50
) -> LatencyWindow:
    """Returns a window that answers the default until it has samples."""
    return LatencyWindow(default_ms, minimum_samples)
