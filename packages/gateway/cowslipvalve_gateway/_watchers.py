"""Follows the platform's store and keeps the catalog current."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _stores

# Bounds how long a watch that fell silent hides changes. Each wait costs one
# call, so a shorter one is paid for all day.
_WAIT_MS = {
    _stores.Kind.CONFIGURATION: 4_000,
    _stores.Kind.SERVERS: 4_000,
    _stores.Kind.DOMAINS_OUT: 6_000,
}
_PROBE_WAIT_MS = 1
# Registrations come in bursts; waiting for the rest of one saves calls.
_BURST_MS = 300.0
_FIRST_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 1_000.0  # An outage ends unannounced.
_RETURN_GRACE_MS = 2_500.0  # Lapsed registrations are back within 2 s.
_DEPARTURE_CHECK_MS = 250.0
_PREPARE_CHECK_MS = 100.0
_PREPARED_AT_ONCE = 8  # More would delay the requests of a host that starts.
_COUNT_FIRST_MS = 3_000.0  # All hosts of a deployment start together.
_COUNT_MS = 60_000.0

_logger = logging.getLogger(__name__)


class StateWatcher(mode.Service):
    """Lists and watches every kind of state."""

    def __init__(
        self,
        store: _stores.StateStore,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        host: str,
    ) -> None:
        super().__init__()
        self._store = store
        self._catalog = catalog
        self._clock = clock
        self._host = host
        # For each kind, until when lapsed registrations are still believed.
        self._grace_until_ms = 0.0

    @mode.Service.task
    async def _follow_configuration(self) -> None:
        await self._follow(_stores.Kind.CONFIGURATION)

    @mode.Service.task
    async def _follow_servers(self) -> None:
        await self._follow(_stores.Kind.SERVERS)

    @mode.Service.task
    async def _follow_domains_out(self) -> None:
        await self._follow(_stores.Kind.DOMAINS_OUT)

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

    @mode.Service.task
    async def _count_hosts(self) -> None:
        await self._retry(lambda: self._store.register_host(self._host))
        await self._clock.sleep_ms(_COUNT_FIRST_MS)
        while not self.should_stop:
            await self._retry(self._count_once)
            await self._clock.sleep_ms(_COUNT_MS)

    async def leave(self) -> None:
        """Removes the record of this host; its share goes to the others."""
        try:
            await self._store.unregister_host(self._host)
        except base.PlatformError as error:
            base.log_event(
                _logger, "unregister-failed", logging.WARNING, error=error
            )

    async def _count_once(self) -> None:
        self._catalog.set_hosts(max(1, await self._store.count_hosts()))

    async def _retry(self, call: Callable[[], Awaitable[None]]) -> None:
        backoff_ms = _FIRST_BACKOFF_MS
        while not self.should_stop:
            try:
                await call()
                return
            except base.PlatformError as error:
                base.log_event(
                    _logger, "store-call-failed", logging.WARNING, error=error
                )
            backoff_ms = await self._back_off(backoff_ms)

    async def _follow(self, kind: _stores.Kind) -> None:
        """Keeps one kind current until the service stops."""
        revision: int | None = None
        backoff_ms = _FIRST_BACKOFF_MS
        is_lost = False
        while not self.should_stop:
            try:
                if revision is None:
                    listing = await self._store.list_objects(kind)
                else:
                    # After a loss the first answer tells that it is over.
                    wait_ms = _PROBE_WAIT_MS if is_lost else _WAIT_MS[kind]
                    listing = await self._store.watch(kind, revision, wait_ms)
            except _errors.HistoryGoneError as error:
                base.log_event(
                    _logger, "history-gone", kind=kind.value, error=error
                )
                revision = None
                continue
            except base.PlatformError as error:
                if not is_lost:
                    base.log_event(
                        _logger,
                        "store-lost",
                        logging.WARNING,
                        kind=kind.value,
                        error=error,
                    )
                is_lost = True
                backoff_ms = await self._back_off(backoff_ms)
                continue
            if is_lost:
                self._grace_until_ms = self._clock.now_ms() + _RETURN_GRACE_MS
                base.log_event(_logger, "store-regained", kind=kind.value)
            is_lost = False
            backoff_ms = _FIRST_BACKOFF_MS
            self._apply(kind, listing, is_whole=revision is None)
            revision = listing.revision
            if kind is _stores.Kind.SERVERS and listing.items:
                await self._clock.sleep_ms(_BURST_MS)

    async def _back_off(self, backoff_ms: float) -> float:
        await self._clock.sleep_ms(backoff_ms * random.uniform(0.5, 1.0))
        return min(_MAX_BACKOFF_MS, backoff_ms * 2)

    def _apply(
        self, kind: _stores.Kind, listing: _stores.Listing, is_whole: bool
    ) -> None:
        if kind is _stores.Kind.CONFIGURATION:
            self._apply_configuration(listing)
        elif kind is _stores.Kind.SERVERS:
            self._apply_servers(listing, is_whole)
        else:
            self._apply_domains_out(listing, is_whole)

    def _apply_configuration(self, listing: _stores.Listing) -> None:
        for item in listing.items:
            if isinstance(item.value, _resources.RoutingTable):
                self._catalog.set_table(item.value)

    def _apply_servers(self, listing: _stores.Listing, is_whole: bool) -> None:
        grace_ms = max(0.0, self._grace_until_ms - self._clock.now_ms())
        for item in listing.items:
            if isinstance(item.value, _resources.Server):
                self._catalog.put_server(item.value)
            elif not item.is_valid:
                self._catalog.drop_server(item.name, grace_ms)
        if is_whole:
            names = frozenset(i.name for i in listing.items if i.is_valid)
            self._catalog.keep_servers(names, grace_ms)

    def _apply_domains_out(
        self, listing: _stores.Listing, is_whole: bool
    ) -> None:
        out = set() if is_whole else set(self._catalog.domains_out)
        for item in listing.items:
            if item.is_valid:
                out.add(item.name)
            else:
                out.discard(item.name)
        self._catalog.set_domains_out(frozenset(out))


def create_state_watcher(
    store: _stores.StateStore,
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    host: str,
) -> StateWatcher:
    """Returns the watcher of a host."""
    return StateWatcher(store, catalog, clock, host)
