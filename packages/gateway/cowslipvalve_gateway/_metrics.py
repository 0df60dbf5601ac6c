"""The metrics of a host in the Prometheus text format."""

from collections.abc import Callable, Iterable

import attrs
import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

from cowslipvalve_gateway import _measurements

_LATENCY_BUCKETS_MS = (
    1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 350, 500, 1000, 3000, 10000,
)  # fmt: skip
_PREFIX = "cowslipvalve_"


@attrs.frozen
class Gauge:
    """A value that is read whenever metrics are requested."""

    # The metric name without the prefix.
    name: str
    # Returns the current value.
    read: Callable[[], float]


class MetricsPage:
    """Renders the counters, gauges and latency histogram of a host."""

    def __init__(
        self,
        measurements: _measurements.Measurements,
        gauges: tuple[Gauge, ...],
    ) -> None:
        self._measurements = measurements
        reader = prometheus.PrometheusMetricReader()
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter("cowslipvalve")
        self._names: set[str] = set()
        self._latency = self._meter.create_histogram(
            _PREFIX + "latency_ms",
            explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_MS,
        )
        for gauge in gauges:
            self._add_gauge(gauge)

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        for sample in self._measurements.take_samples():
            self._latency.record(
                sample.latency_ms, {"of": sample.name, "route": sample.route}
            )
        for name, _ in self._measurements.read_counts():
            if name not in self._names:
                self._names.add(name)
                self._add_counter(name)
        return prometheus_client.generate_latest()

    def _add_counter(self, name: str) -> None:
        def observe(
            _: metrics.CallbackOptions,
        ) -> Iterable[metrics.Observation]:
            counts = self._measurements.read_counts()
            for (counted, label), value in counts.items():
                if counted == name:
                    yield metrics.Observation(value, {"label": label})

        self._meter.create_observable_counter(
            _PREFIX + name, callbacks=[observe]
        )

    def _add_gauge(self, gauge: Gauge) -> None:
        self._meter.create_observable_gauge(
            _PREFIX + gauge.name,
            callbacks=[lambda _: [metrics.Observation(gauge.read())]],
        )


def create_metrics_page(
    measurements: _measurements.Measurements, gauges: tuple[Gauge, ...]
) -> MetricsPage:
    """Creates the metrics page of a host."""
    return MetricsPage(measurements, gauges)
