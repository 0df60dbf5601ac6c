"""Periodic maintenance of the catalog."""

import asyncio

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _restarts

_LAPSE_CHECK_MS = 250.0
_PREPARE_CHECK_MS = 100.0
# More would delay requests of a starting host.
_MAX_CONCURRENT_CONNECTS = 8


class CatalogMaintenance(mode.Service):
    """Removes lapsed servers and opens connections ahead of requests."""

    def __init__(
        self, replica: _replicas.StateReplica, clock: base.Clock
    ) -> None:
        super().__init__()
        self._replica = replica
        self._catalog = replica.catalog
        self._clock = clock

    @mode.Service.task
    @_restarts.restart_on_error
    async def _remove_lapsed(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_LAPSE_CHECK_MS)
            self._catalog.remove_lapsed()
            self._replica.end_repairs()

    @mode.Service.task
    @_restarts.restart_on_error
    async def _prepare_connections(self) -> None:
        while not self.should_stop:
            pools = self._catalog.unprepared_pools()[:_MAX_CONCURRENT_CONNECTS]
            await asyncio.gather(*(pool.prepare() for pool in pools))
            if not pools:
                await self._clock.sleep_ms(_PREPARE_CHECK_MS)


def create_catalog_maintenance(
    replica: _replicas.StateReplica, clock: base.Clock
) -> CatalogMaintenance:
    """Creates the maintenance service of a host's replica and catalog."""
    return CatalogMaintenance(replica, clock)
