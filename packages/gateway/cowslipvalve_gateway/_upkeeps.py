"""What the catalog needs done from time to time."""

import asyncio

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs

_DEPARTURE_CHECK_MS = 250.0
_PREPARE_CHECK_MS = 100.0
_PREPARED_AT_ONCE = 8  # More would delay the requests of a host that starts.


class CatalogUpkeep(mode.Service):
    """Removes servers that lapsed and opens connections ahead of need."""

    def __init__(self, catalog: _catalogs.Catalog, clock: base.Clock) -> None:
        super().__init__()
        self._catalog = catalog
        self._clock = clock

    @mode.Service.task
    async def _remove_departed(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_DEPARTURE_CHECK_MS)
            self._catalog.remove_departed()

    @mode.Service.task
    async def _prepare_connections(self) -> None:
        while not self.should_stop:
            pools = self._catalog.unprepared_pools()[:_PREPARED_AT_ONCE]
            await asyncio.gather(*(pool.prepare() for pool in pools))
            if not pools:
                await self._clock.sleep_ms(_PREPARE_CHECK_MS)


def create_catalog_upkeep(
    catalog: _catalogs.Catalog, clock: base.Clock
) -> CatalogUpkeep:
    """Returns the upkeep of a host's catalog."""
    return CatalogUpkeep(catalog, clock)
