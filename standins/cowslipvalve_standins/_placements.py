"""Placement changes in tests and measurements."""

import attrs

from cowslipvalve_standins import _deployments


async def write_placement(
    deployment: _deployments.Deployment, kind: str, name: str, placement: str
) -> None:
    """Sets the placement of a stored resource, as operators do."""
    stored = await deployment.client.get(kind, name)
    spec = {**stored.spec, "placement": placement}
    await deployment.client.update(attrs.evolve(stored, spec=spec))
