"""The daemon that runs on every entry host."""

import asyncio
import logging

import aiohttp
import attrs
import mode
from aiohttp import web

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_store as store
from cowslipvalve_daemon import _callerapi
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _entries
from cowslipvalve_daemon import _heartbeats
from cowslipvalve_daemon import _homes
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _operationsapi
from cowslipvalve_daemon import _orders
from cowslipvalve_daemon import _peerapi
from cowslipvalve_daemon import _quarantines
from cowslipvalve_daemon import _querystreams
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _settings
from cowslipvalve_daemon import _statuses
from cowslipvalve_daemon import _transports
from cowslipvalve_daemon import _watchers

_LOGGER = logging.getLogger(__name__)
_POLL_MS = 20
_LAST_ANSWERS_MS = 100  # Answers that are written when the last work ends.


@attrs.frozen(kw_only=True)
class _Parts:
    """The services and interfaces of one daemon."""

    transport: _transports.Transport
    platform_session: aiohttp.ClientSession
    leases: peers.LeaseKeeper
    configurations: _configurations.ConfigurationHolder
    heartbeats: _heartbeats.HeartbeatService
    watcher: _watchers.PlatformWatcher
    statuses: _statuses.StatusWriter
    homes: _homes.HomeService
    streams: _querystreams.QueryStreams
    caller_api: _callerapi.CallerApi
    peer_api: _peerapi.PeerApi


class Daemon(mode.Service):
    """Serves callers and peers until it is stopped."""

    def __init__(self, settings: _settings.Settings) -> None:
        super().__init__()
        self._settings = settings
        self._clock = model.create_clock()
        self._parts: _Parts | None = None
        self._is_stopping = False
        self._runners: list[web.AppRunner] = []

    async def on_start(self) -> None:
        """Opens all interfaces and starts all services."""
        self._parts = _create_parts(self._settings, self._clock)
        parts = self._parts
        parts.heartbeats.holding = parts.homes.list_unreleased_servers
        await self._listen(
            _operationsapi.create_operations_app(self.explain_unready),
            self._settings.operations_address,
        )
        await self._listen(
            parts.peer_api.create_app(), self._settings.peer_address, True
        )
        await self._listen(
            parts.caller_api.create_app(), self._settings.caller_address
        )
        for service in (
            parts.heartbeats,
            parts.watcher,
            parts.statuses,
            parts.homes,
            parts.streams,
        ):
            await self.add_runtime_dependency(service)
        model.log_event(
            _LOGGER, "started", domain=self._settings.failure_domain
        )

    def explain_unready(self) -> str:
        """Returns why the host takes no requests, empty if it does."""
        parts = self._parts
        if parts is None:
            return "starting"
        if self._is_stopping:
            return "stopping"
        if parts.configurations.current.number == 0:
            return "no configuration yet"
        if parts.configurations.is_domain_out(self._settings.failure_domain):
            return "the failure domain is out"
        if parts.leases.state is not model.HostState.LIVE:
            return "joining"
        return ""

    async def drain(self) -> None:
        """Finishes all work and hands the homes over.

        Requests are still taken until the balancer has had time to notice.
        """
        parts = self._parts
        if parts is None:
            return
        self._is_stopping = True
        model.log_event(_LOGGER, "stopping")
        deadline_ms = self._clock.now_ms() + self._settings.limits.drain_ms
        parts.leases.leave()
        await parts.heartbeats.push()
        await self._clock.sleep_ms(self._settings.limits.balancer_wait_ms)
        parts.caller_api.is_closed = True
        while self._clock.now_ms() < deadline_ms and self._is_busy(parts):
            await self._clock.sleep_ms(_POLL_MS)
        await self._clock.sleep_ms(_LAST_ANSWERS_MS)
        await parts.heartbeats.push()

    async def on_stop(self) -> None:
        """Closes all interfaces."""
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def on_shutdown(self) -> None:
        """Closes the connections, which the services used until they ended."""
        if self._parts is not None:
            await self._parts.transport.session.close()
            await self._parts.platform_session.close()

    async def _listen(
        self, app: web.Application, address: str, is_peer: bool = False
    ) -> None:
        assert self._parts is not None
        context = self._parts.transport.server_context if is_peer else None
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        host, port = model.split_address(address)
        site = web.TCPSite(runner, host, port, ssl_context=context)
        await site.start()
        self._runners.append(runner)

    def _is_busy(self, parts: _Parts) -> bool:
        return bool(
            parts.caller_api.running_requests
            or parts.peer_api.running_orders
            or not parts.homes.is_idle
        )


def _create_parts(settings: _settings.Settings, clock: model.Clock) -> _Parts:
    """Builds the parts of a daemon in the order in which they need another."""
    incarnation = clock.wall_time_ms()
    metrics = _metrics.create_metrics()
    transport = _transports.create_transport(settings)
    platform_session = aiohttp.ClientSession()
    client = store.create_client(platform_session, settings.platform_url)
    table = peers.create_record_table()
    leases = peers.create_lease_keeper(
        clock,
        peers.LeaseTimes(
            heartbeat_ms=settings.heartbeat.interval_ms,
            dead_ms=settings.heartbeat.dead_ms,
            lease_ms=settings.heartbeat.lease_ms,
        ),
        settings.host,
        incarnation,
    )
    memberships = _memberships.create_memberships(
        settings, incarnation, table, leases
    )
    configurations = _configurations.create_configuration_holder(table, metrics)
    heartbeats = _heartbeats.create_heartbeat_service(
        settings,
        transport.session,
        transport.scheme,
        peers.create_exchange(settings.host, incarnation, table, leases),
        leases,
        memberships,
        configurations,
        client,
        clock,
    )
    watcher = _watchers.create_platform_watcher(
        client, configurations, memberships, metrics, clock
    )
    homes = _homes.create_home_service(
        settings.failure_domain, memberships, configurations, metrics, clock
    )
    streams = _querystreams.create_query_streams(
        memberships, transport.session, transport.scheme, clock
    )
    directory = _replicas.create_replica_directory(
        settings, table, configurations, streams.is_reachable, clock
    )
    entry = _entries.create_search_coordinator(
        configurations,
        directory,
        streams,
        _quarantines.create_quarantine(table, metrics, heartbeats.push),
        metrics,
        clock,
    )
    orders = _orders.create_orders(
        settings,
        incarnation,
        transport,
        entry,
        directory,
        memberships,
        store.create_claim_store(client, clock),
        metrics,
        clock,
    )
    return _Parts(
        transport=transport,
        platform_session=platform_session,
        leases=leases,
        configurations=configurations,
        heartbeats=heartbeats,
        watcher=watcher,
        statuses=_statuses.create_status_writer(
            client, table, directory, configurations, memberships, watcher
        ),
        homes=homes,
        streams=streams,
        caller_api=_callerapi.create_caller_api(
            settings, entry, orders, metrics
        ),
        peer_api=_peerapi.create_peer_api(
            heartbeats, configurations, homes, orders, clock
        ),
    )


async def run_daemon(settings: _settings.Settings, stop: asyncio.Event) -> None:
    """Runs a daemon until the event is set, then drains it.

    Raises:
      CowslipvalveError: A part of the daemon failed, and with it the daemon.
    """
    daemon = Daemon(settings)
    await daemon.start()
    crashed = asyncio.ensure_future(daemon.wait_until_stopped())
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait((crashed, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not crashed.done():
        await daemon.drain()
    await daemon.stop()
    stopping.cancel()
    if daemon.crash_reason is not None:
        raise model.CowslipvalveError(
            f"the daemon failed: {daemon.crash_reason!r}", step="run"
        )
