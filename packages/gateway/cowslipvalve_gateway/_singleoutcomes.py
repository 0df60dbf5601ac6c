"""Outcomes of calls to a single service."""

from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls


def create_outcome(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
    call: _servicecalls.ServiceCall,
) -> _calls.Outcome:
    """Returns the outcome of a call; one that is not settled is too late."""
    if not call.is_settled:
        return _refusals.create_refusal(
            _calls.RefusalReason.TIMEOUT, call.has_run or call.attempts > 0
        )
    if call.answer is not None:
        return _refusals.withhold_denial(call.answer, route)
    wait_ms = call.wait_ms
    if call.reason is _calls.RefusalReason.QUARANTINED:
        wait_ms = context.crashes.compute_remaining_ms(request)
    return _refusals.create_refusal(call.reason, call.has_run, wait_ms)


def is_unreached(call: _servicecalls.ServiceCall) -> bool:
    """Whether a call has failed before anything was sent to a server."""
    no_server = call.reason is _calls.RefusalReason.NO_SERVER
    return call.is_settled and not call.attempts and no_server
