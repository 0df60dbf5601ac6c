"""When a request that has no answer yet is sent to a second server."""

from cowslipvalve_gateway import _latencies
from cowslipvalve_gateway import _resources

_MIN_HEDGE_PERCENTILE = 85
_MAX_HEDGE_PERCENTILE = 96
_UNSENT_HEDGE_TARGET_SHARE = 0.3  # Connecting takes longer than any round trip.
# Leaves time for a second attempt of this length.
_DEFAULT_HEDGE_TARGET_SHARE = 0.25


def compute_unsent_delay_ms(route: _resources.Route) -> float:
    """Returns how many ms an attempt may take until it is sent."""
    return route.target_ms * _UNSENT_HEDGE_TARGET_SHARE


def compute_hedge_delay_ms(
    route: _resources.Route, latencies: _latencies.RecentLatencies
) -> float:
    """Returns how many ms to wait for an answer before a hedge is sent.

    A hedge should still answer within the target. Where the target leaves
    time, the delay is longer, so that fewer slow answers cause a hedge.

    Args:
      route: The route of the request.
      latencies: The recent latencies of the route at the server.
    """
    if not latencies.has_percentiles:
        return route.target_ms * _DEFAULT_HEDGE_TARGET_SHARE
    min_delay_ms = latencies.percentile_ms(_MIN_HEDGE_PERCENTILE)
    max_delay_ms = latencies.percentile_ms(_MAX_HEDGE_PERCENTILE)
    useful_delay_ms = route.target_ms / 2 - min_delay_ms
    return max(min_delay_ms, min(max_delay_ms, useful_delay_ms))
