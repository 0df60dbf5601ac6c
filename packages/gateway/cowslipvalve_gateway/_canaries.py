"""Requests of suspects, of which one at a time is sent.

A fan-out goes to one shard before it goes to all.
"""

import random

import attrs

from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _fanouts
from cowslipvalve_gateway import _fingerprints
from cowslipvalve_gateway import _groupcalls
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _suspects

# If these have no server for the request, there is little use in asking more.
_MAX_SHARDS = 3


async def obtain_permit(
    context: _callcontexts.CallContext, request: _calls.CallerRequest
) -> _suspects.Permit:
    """Returns whether a request may be sent; it is cleared if no suspect."""
    if not context.crashes.is_suspect(request):
        return _suspects.Permit.CLEARED
    fingerprint = _fingerprints.compute_fingerprint(request)
    permit = await context.crashes.permits.ask(fingerprint)
    context.measurements.count("canaries", permit.value)
    return permit


async def ask_one_shard(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
    deadline_ms: float,
) -> _groupcalls.Parts | _calls.Refusal:
    """Sends a suspect to a random shard.

    Returns:
      The part of the shard, or a refusal if the request must not be sent to the
      other shards.
    """
    usable = [
        shard
        for shard in route.shards
        if context.selector.find_usable(route, shard)
        and not context.crashes.blocks(request, shard)
    ]
    refusal = _refusals.create_refusal(_calls.RefusalReason.NO_SERVER, False)
    fingerprint = _fingerprints.compute_fingerprint(request)
    for shard in random.sample(usable, min(_MAX_SHARDS, len(usable))):
        fan_out = _fanouts.FanOut(
            context,
            request,
            attrs.evolve(route, shards=(shard,)),
            deadline_ms,
        )
        with context.crashes.permits.send(fingerprint):
            outcome = await fan_out.run()
        if isinstance(outcome, _calls.MergedAnswer):
            return _groupcalls.Parts(
                shards=(shard,), proofs=outcome.proofs, records=outcome.body
            )
        assert isinstance(outcome, _calls.Refusal)
        refusal = outcome
        if not refusal.is_not_run:
            break
    return refusal
