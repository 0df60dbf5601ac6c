"""Requests that a single server answers."""

import asyncio

import cowslipvalve_base as base
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls


async def call_single(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
    service: str,
    deadline_ms: float,
) -> _calls.Outcome:
    """Returns the answer of one server of a service.

    Cancelling the call closes the connections of its attempts.
    """
    settled = asyncio.Event()
    call = _servicecalls.ServiceCall(
        context, request, route, service, deadline_ms, lambda _: settled.set()
    )
    call.start()
    remaining_ms = deadline_ms - context.clock.now_ms()
    try:
        async with asyncio.timeout(base.to_seconds(remaining_ms)):
            await settled.wait()
    except TimeoutError:
        call.abandon()
        return _refusals.create_refusal(
            _calls.RefusalReason.TIMEOUT, call.has_run or call.attempts > 0
        )
    except asyncio.CancelledError:
        call.abandon()
        raise
    if call.answer is not None:
        return call.answer
    wait_ms = call.wait_ms
    if call.reason is _calls.RefusalReason.QUARANTINED:
        wait_ms = context.crashes.compute_remaining_ms(request)
    return _refusals.create_refusal(call.reason, call.has_run, wait_ms)
