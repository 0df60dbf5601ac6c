"""Requests that a single server answers."""

import asyncio

import cowslipvalve_base as base
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _relays
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _servicewaits
from cowslipvalve_gateway import _singleoutcomes

# How often a call checks whether the links to its servers have failed.
_LINK_CHECK_MS = 50.0


async def call_single(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
    service: str,
    deadline_ms: float,
) -> _calls.Outcome:
    """Returns the answer of one server of a service.

    If this host reaches no server of the service, another host asks them.
    Cancelling the call closes the connections of its attempts.
    """
    settled = asyncio.Event()
    call = _servicecalls.ServiceCall(
        context, request, route, service, deadline_ms, lambda _: settled.set()
    )
    if not _servicewaits.is_cut_off(context, route, service):
        call.start()
        try:
            await _wait(context, route, call, settled, deadline_ms)
            outcome = _singleoutcomes.create_outcome(
                context, request, route, call
            )
        finally:
            if not call.is_settled:
                call.abandon()
        if not _may_relay(context, route, call):
            return outcome
        call.withdraw()
    earlier = _relays.Earlier(
        may_have_run=call.attempts > 0, server=call.first_server
    )
    relay = _relays.create_relay(
        context, request, route, service, deadline_ms, earlier
    )
    return await relay.run()


async def _wait(
    context: _callcontexts.CallContext,
    route: _resources.Route,
    call: _servicecalls.ServiceCall,
    settled: asyncio.Event,
    deadline_ms: float,
) -> None:
    """Waits until a call is settled or too late, or is to be relayed."""
    while not settled.is_set():
        remaining_ms = deadline_ms - context.clock.now_ms()
        if remaining_ms <= 0.0 or _may_relay(context, route, call):
            return
        try:
            async with asyncio.timeout(
                base.to_seconds(min(_LINK_CHECK_MS, remaining_ms))
            ):
                await settled.wait()
        except TimeoutError:
            continue


def _may_relay(
    context: _callcontexts.CallContext,
    route: _resources.Route,
    call: _servicecalls.ServiceCall,
) -> bool:
    """Whether another host may ask the servers that a call cannot reach."""
    if call.answer is not None:
        return False
    if call.attempts and not route.is_idempotent:
        return False
    return _servicewaits.is_cut_off(context, route, call.service)
