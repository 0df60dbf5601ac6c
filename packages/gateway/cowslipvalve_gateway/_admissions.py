"""Decides before anything is sent whether a fan-out can have enough parts.

Answers the load of fan-outs over shards whose servers are out or have reached
their limits. Such a fan-out would use what the other shards' limits allow,
without an answer for its caller.
"""

import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _servicewaits

_logger = logging.getLogger(__name__)


def refuse_fan_out(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
) -> _calls.Refusal | None:
    """Returns the refusal of a request that too few shards can answer now."""
    blocked = sum(
        context.crashes.blocks(request, service) for service in route.shards
    )
    if not route.meets_coverage(len(route.shards) - blocked):
        return _refusals.create_refusal(
            _calls.RefusalReason.QUARANTINED,
            False,
            context.crashes.compute_remaining_ms(request),
        )
    # Whether another host can ask; not computed before it is needed.
    has_helper: bool | None = None
    usable = 0
    # Until when all servers of a shard take no request, for each such shard.
    waits_ms: list[float] = []
    for service in route.shards:
        views = context.selector.find_usable(route, service)
        if _servicewaits.is_cut_off(context, route, service):
            if has_helper is None:
                has_helper = any(
                    True for _ in context.detours.find_helpers(route)
                )
            if not has_helper:
                continue
        pause_ms = context.selector.find_pause_ms(route, service)
        usable += bool(views or pause_ms)
        wait_ms = pause_ms or _compute_wait_ms(context, route, service, views)
        if (views or pause_ms) and wait_ms > 0.0:
            waits_ms.append(wait_ms)
    available = usable - len(waits_ms)
    if route.meets_coverage(available):
        return None
    base.log_event(
        _logger,
        "too-few-shards",
        request=request.request_id,
        usable=usable,
        limited=len(waits_ms),
        shards=len(route.shards),
        least=route.min_coverage,
    )
    if not route.meets_coverage(usable):
        return _refusals.create_refusal(_calls.RefusalReason.NO_SERVER, False)
    waits_ms.sort()
    wait_ms = next(
        wait_ms
        for count, wait_ms in enumerate(waits_ms, 1)
        if route.meets_coverage(available + count)
    )
    return _refusals.create_refusal(
        _calls.RefusalReason.RATE_LIMITED, False, wait_ms
    )


def _compute_wait_ms(
    context: _callcontexts.CallContext,
    route: _resources.Route,
    service: str,
    views: list[_servers.ServerView],
) -> float:
    """Returns for how many ms the servers of a shard take no request."""
    if _servicewaits.is_cut_off(context, route, service):
        return context.shard_waits.find_wait_ms(service)
    if context.limiter.is_exhausted(views):
        return context.limiter.compute_wait_ms(views)
    planner = context.catalog.planner
    if planner is None or not planner.find_groups(route.shards):
        return 0.0
    return context.shard_waits.find_wait_ms(service)
