"""Placement changes in tests and measurements."""

import attrs

import cowslipvalve_model as model
from cowslipvalve_standins import _deployments

_MAX_TRIES = 5


async def write_placement(
    deployment: _deployments.Deployment, kind: str, name: str, placement: str
) -> None:
    """Sets the placement of a stored resource, as operators do.

    Hosts may write the status of the resource between read and write; the
    operators' command repeats its change then, too.
    """
    tries = 0
    while True:
        stored = await deployment.client.get(kind, name)
        spec = {**stored.spec, "placement": placement}
        try:
            await deployment.client.update(attrs.evolve(stored, spec=spec))
        except model.ConflictError:
            tries += 1
            if tries == _MAX_TRIES:
                raise
        else:
            return
