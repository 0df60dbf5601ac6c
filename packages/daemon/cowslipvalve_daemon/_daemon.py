"""The daemon, which runs on every host."""

import asyncio
import logging

import aiohttp
import attrs
import mode

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
_ADDRESS_WAIT_MS = 0.0  # The daemon ends, and its supervisor starts it again.
_DRAIN_POLL_MS = 20
_FINAL_ANSWERS_WAIT_MS = 100  # For writing the answers to the last requests.


@attrs.frozen(kw_only=True)
class _Components:
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
    """Serves callers and peers until the service is stopped."""

    def __init__(self, settings: _settings.Settings) -> None:
        super().__init__()
        self._settings = settings
        self._clock = model.create_clock()
        self._components: _Components | None = None
        self._is_stopping = False
        self._listeners = model.create_listeners(self._clock, _ADDRESS_WAIT_MS)

    async def on_start(self) -> None:
        """Opens all HTTP interfaces and starts all services."""
        self._components = _create_components(self._settings, self._clock)
        components = self._components
        components.heartbeats.list_unreleased_servers = (
            components.homes.list_unreleased_servers
        )
        await self._listeners.open(
            "operations",
            _operationsapi.create_operations_app(self.explain_unready),
            self._settings.operations_address,
        )
        await self._listeners.open(
            "peers",
            components.peer_api.create_app(),
            self._settings.peer_address,
            components.transport.server_context,
        )
        await self._listeners.open(
            "callers",
            components.caller_api.create_app(),
            self._settings.caller_address,
        )
        for service in (
            components.heartbeats,
            components.watcher,
            components.statuses,
            components.homes,
            components.streams,
        ):
            await self.add_runtime_dependency(service)
        model.log_event(
            _LOGGER, "started", domain=self._settings.failure_domain
        )

    def explain_unready(self) -> str:
        """Returns why the host is not ready, or an empty string if it is."""
        components = self._components
        if components is None:
            return "starting"
        if self._is_stopping:
            return "stopping"
        if components.configurations.current.number == 0:
            return "no configuration yet"
        if components.configurations.is_domain_out(
            self._settings.failure_domain
        ):
            return "the failure domain is out"
        if components.leases.state is not model.HostState.LIVE:
            return "joining"
        return ""

    async def drain(self) -> None:
        """Finishes running work and releases this host's homes.

        Requests are accepted until the load balancer has had time to see that
        the host is not ready. Those that outlast the drain are answered, with
        an unknown outcome.
        """
        components = self._components
        if components is None:
            return
        self._is_stopping = True
        model.log_event(_LOGGER, "stopping")
        deadline_ms = self._clock.now_ms() + self._settings.limits.drain_ms
        components.leases.leave()
        await components.heartbeats.push()
        await self._clock.sleep_ms(self._settings.limits.balancer_wait_ms)
        components.caller_api.is_closed = True
        while self._clock.now_ms() < deadline_ms and self._is_busy(components):
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        components.caller_api.end_requests()
        await self._clock.sleep_ms(_FINAL_ANSWERS_WAIT_MS)
        await components.heartbeats.push()

    async def on_stop(self) -> None:
        """Closes all HTTP interfaces."""
        await self._listeners.close()

    async def on_shutdown(self) -> None:
        """Closes the client sessions, which services use until they stop."""
        if self._components is not None:
            await self._components.transport.session.close()
            await self._components.platform_session.close()

    def _is_busy(self, components: _Components) -> bool:
        return bool(
            components.caller_api.running_requests
            or components.peer_api.running_orders
            or not components.homes.is_idle
        )


def _create_components(
    settings: _settings.Settings, clock: model.Clock
) -> _Components:
    """Creates the components of a daemon in the order of their dependencies."""
    incarnation = clock.wall_time_ms()
    metrics = _metrics.create_metrics()
    transport = _transports.create_transport(settings)
    platform_session = aiohttp.ClientSession()
    client = store.create_platform_client(
        platform_session, settings.platform_url
    )
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
        settings.failure_domain,
        memberships,
        configurations,
        settings.limits.create_reply_memory(),
        metrics,
        clock,
    )
    streams = _querystreams.create_query_streams(
        memberships, transport.session, transport.scheme, clock
    )
    directory = _replicas.create_replica_directory(
        settings, table, configurations, streams.is_reachable, clock
    )
    coordinator = _entries.create_search_coordinator(
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
        coordinator,
        directory,
        memberships,
        store.create_claim_store(client, clock),
        metrics,
        clock,
    )
    return _Components(
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
            settings, coordinator, orders, metrics
        ),
        peer_api=_peerapi.create_peer_api(
            heartbeats, configurations, homes, orders, clock
        ),
    )


async def run_daemon(settings: _settings.Settings, stop: asyncio.Event) -> None:
    """Runs a daemon until the event is set, then drains it.

    Raises:
      CowslipvalveError: A service of the daemon crashed.
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
            f"daemon crashed: {daemon.crash_reason!r}", step="run"
        )
