"""What hosts tell each other of servers that have stated that they leave."""

from collections.abc import Iterable

import attrs

from cowslipvalve_gateway import _catalogs


@attrs.frozen(kw_only=True)
class LeavingServer:
    """A start of a server that has stated that it leaves."""

    server: str
    started_ms: int


def find_leaving(
    catalog: _catalogs.Catalog, service: str
) -> tuple[LeavingServer, ...]:
    """Returns the servers that leave, also those that others told of."""
    return tuple(
        LeavingServer(
            server=view.server.instance_id, started_ms=view.server.started_ms
        )
        for view in catalog.servers_of(service)
        if view.withdrawal.is_leaving
    )


def record_leaving(
    catalog: _catalogs.Catalog, servers: Iterable[LeavingServer]
) -> None:
    """Leaves alone the servers that another host says are leaving."""
    for leaving in servers:
        view = catalog.find_server(leaving.server)
        if view and view.server.started_ms == leaving.started_ms:
            view.withdrawal.record_leaving()
