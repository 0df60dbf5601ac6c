"""Whether and when the servers of a service take a request.

Answers the load of servers that have reached their rate limits, or have stated
that they want no requests for a while: a request is refused at once, with the
time to come back, rather than kept until its deadline.
"""

from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _resources


def is_cut_off(
    context: _callcontexts.CallContext, route: _resources.Route, service: str
) -> bool:
    """Whether only another host may reach the servers of a service."""
    links = context.links
    if not links.is_stranded and not links.has_unreached:
        return False
    if all(name == context.own_name for name in context.catalog.hosts):
        return False
    return links.is_cut_off(
        service,
        context.selector.find_usable(route, service),
        must_connect=not route.is_idempotent,
    )


def is_exhausted(
    context: _callcontexts.CallContext, route: _resources.Route, service: str
) -> bool:
    """Whether all servers of a service take no request only for a while."""
    if context.selector.find_pause_ms(route, service):
        return True
    usable = context.selector.find_usable(route, service)
    return bool(usable) and context.limiter.is_exhausted(usable)


def compute_wait_ms(
    context: _callcontexts.CallContext, route: _resources.Route, service: str
) -> float:
    """Returns after how many ms a server of a service takes a request."""
    pause_ms = context.selector.find_pause_ms(route, service)
    return pause_ms or context.limiter.compute_wait_ms(
        context.selector.find_usable(route, service)
    )
