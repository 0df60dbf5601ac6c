"""The metrics of the daemon."""

import attrs
import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

_LATENCY_BOUNDS_MS = (
    1, 2, 5, 10, 20, 35, 50, 75, 100, 130, 200, 350, 500, 1000, 5000, 60000,
)  # fmt: skip


@attrs.frozen(kw_only=True)
class Metrics:
    """The metric instruments; every exported name starts with cowslipvalve_."""

    # Finished requests of callers, by search and HTTP status.
    requests: metrics.Counter
    # Latency of callers' read requests, by search, in ms.
    latency: metrics.Histogram
    # Shards missing from answers, by search.
    missing_shards: metrics.Counter
    # Shard queries sent to servers, by search and whether they are extra load.
    attempts: metrics.Counter
    # Shard queries without an answer, by reason.
    failures: metrics.Counter
    # Warm-ups of servers that were started, by reason.
    warm_ups: metrics.Counter
    # Failed calls to the platform, by step.
    platform_failures: metrics.Counter
    # The number of the accepted configuration in force.
    accepted_number: metrics.UpDownCounter
    # The number of servers that this host is home to.
    homes: metrics.UpDownCounter
    # Quarantined request bodies, by search.
    quarantined: metrics.Counter
    # Finished orders, by search and outcome.
    orders: metrics.Counter


def create_metrics() -> Metrics:
    """Registers the instruments with the Prometheus exporter."""
    reader = prometheus.PrometheusMetricReader()
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    meter = provider.get_meter("cowslipvalve")
    return Metrics(
        requests=meter.create_counter("cowslipvalve_requests"),
        latency=meter.create_histogram(
            "cowslipvalve_latency_ms",
            explicit_bucket_boundaries_advisory=_LATENCY_BOUNDS_MS,
        ),
        missing_shards=meter.create_counter("cowslipvalve_missing_shards"),
        attempts=meter.create_counter("cowslipvalve_attempts"),
        failures=meter.create_counter("cowslipvalve_failures"),
        warm_ups=meter.create_counter("cowslipvalve_warm_ups"),
        platform_failures=meter.create_counter("cowslipvalve_store_failures"),
        accepted_number=meter.create_up_down_counter(
            "cowslipvalve_accepted_number"
        ),
        homes=meter.create_up_down_counter("cowslipvalve_homes"),
        quarantined=meter.create_counter("cowslipvalve_quarantined"),
        orders=meter.create_counter("cowslipvalve_orders"),
    )


def render_metrics() -> bytes:
    """Returns all metrics in the text format that Prometheus reads."""
    return prometheus_client.generate_latest()
