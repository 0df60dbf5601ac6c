"""Writes placements as operators do."""

import attrs

from cowslipvalve_standins import _deployments


async def write_placement(
    deployment: _deployments.Deployment, kind: str, name: str, placement: str
) -> None:
    """Writes the placement of a resource."""
    stored = await deployment.client.get(kind, name)
    spec = {**stored.spec, "placement": placement}
    await deployment.client.update(attrs.evolve(stored, spec=spec))
