"""Recent latencies of a search."""

from typing import Any

from hdrh import histogram

import cowslipvalve_model as model

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_WINDOW_MS = 1_000  # Short, so that samples of a cold start soon expire.
_US_PER_MS = 1_000
_MEDIAN_PERCENTILE = 50.0
_LATE_PERCENTILE = 95.0
_LATE_MEDIAN_FACTOR = 4.0


class LatencyWindow:
    """Latency percentiles over the samples of the last seconds."""

    def __init__(
        self, clock: model.Clock, default_ms: float, minimum_samples: int
    ) -> None:
        self._clock = clock
        self._rotated_ms = clock.now_ms()
        self._default_ms = default_ms
        self._minimum_samples = minimum_samples
        self._current = _create_histogram()
        self._previous = _create_histogram()
        self._cached: dict[float, float] = {}

    def add(self, latency_ms: float) -> None:
        """Adds a sample."""
        value = max(_MIN_LATENCY_US, int(latency_ms * _US_PER_MS))
        self._current.record_value(min(value, _MAX_LATENCY_US))
        if self._current.get_total_count() < self._minimum_samples:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._rotated_ms >= _WINDOW_MS:
            self._rotated_ms = now_ms
            self._previous = self._current
            self._current = _create_histogram()
            self._cached.clear()

    def hedge_delay_ms(self) -> float:
        """Returns the time in ms after which an answer counts as late.

        This is the 95th percentile, limited to a multiple of the median: one
        slow server in twenty raises the percentile to its own latency.
        """
        return min(
            self.percentile_ms(_LATE_PERCENTILE),
            _LATE_MEDIAN_FACTOR * self.percentile_ms(_MEDIAN_PERCENTILE),
        )

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile in ms, the default while samples are few."""
        samples = self._previous
        if samples.get_total_count() == 0:
            samples = self._current
            if samples.get_total_count() < self._minimum_samples:
                return self._default_ms
            return (
                float(samples.get_value_at_percentile(percentile)) / _US_PER_MS
            )
        if percentile not in self._cached:
            value = float(samples.get_value_at_percentile(percentile))
            self._cached[percentile] = value / _US_PER_MS
        return self._cached[percentile]


def _create_histogram() -> Any:
    return histogram.HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )


def create_latency_window(
    clock: model.Clock, default_ms: float, minimum_samples: int = 50
) -> LatencyWindow:
    """Returns a window that gives the default until it has enough samples."""
    return LatencyWindow(clock, default_ms, minimum_samples)
