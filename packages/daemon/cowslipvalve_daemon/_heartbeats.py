"""Exchanges heartbeats with the other hosts."""

import asyncio
import logging
from collections.abc import Callable

import aiohttp
import mode

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_store as store
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _settings

_LOGGER = logging.getLogger(__name__)
_DISCOVERY_INTERVAL_MS = 5_000  # While no other host is known.
# Bounds the platform's load in large deployments.
_REDISCOVERY_INTERVAL_MS = 60_000
_HTTP_OK = 200
_MAX_PUSH_HOSTS = 16  # The most hosts that one push contacts.


class HeartbeatService(mode.Service):
    """Exchanges heartbeats with the other hosts.

    One task per host of this host's failure domain exchanges heartbeats in
    every interval. A single task exchanges with all other hosts in turn, one
    per interval.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        session: aiohttp.ClientSession,
        scheme: str,
        exchange: peers.Exchange,
        leases: peers.LeaseKeeper,
        memberships: _memberships.Memberships,
        configurations: _configurations.ConfigurationHolder,
        client: store.PlatformClient,
        clock: model.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._session = session
        self._scheme = scheme
        self._exchange = exchange
        self._leases = leases
        self._memberships = memberships
        self._configurations = configurations
        self._client = client
        self._clock = clock
        self._timeout_s = model.to_seconds(settings.heartbeat.dead_ms)
        self._domain_tasks: dict[str, asyncio.Future[None]] = {}
        self._known_addresses: set[str] = set(settings.peers)
        self._fetch_lock = asyncio.Lock()
        self._remote_index = 0
        self.list_unreleased_servers: Callable[[], tuple[str, ...]] = tuple

    def handle_heartbeat(self, message: model.Heartbeat) -> model.Heartbeat:
        """Merges a peer's heartbeat and returns this host's heartbeat."""
        self._merge_heartbeat(message)
        return self._build_heartbeat(message.sender)

    def fetch_if_newer(self, host: str, number: int) -> None:
        """Starts fetching a peer's configuration if its number is higher."""
        if number > self._configurations.current.number:
            self.add_future(self._fetch_configuration(host, number))

    async def push(self) -> None:
        """Exchanges heartbeats now instead of at the next interval.

        Contacts a bounded number of hosts, which pass the changes on to the
        others in a large deployment.
        """
        exchanges = [
            self._exchange_with(record.host, record.address)
            for record in self._memberships.list_other_hosts()[:_MAX_PUSH_HOSTS]
        ]
        await asyncio.gather(*exchanges)

    @mode.Service.task
    async def _advance_heartbeats(self) -> None:
        while not self.should_stop:
            self._leases.advance_heartbeat(self.list_unreleased_servers())
            self._memberships.refresh()
            self._start_domain_tasks()
            await self.sleep(
                model.to_seconds(self._settings.heartbeat.interval_ms)
            )

    @mode.Service.task
    async def _exchange_across_domains(self) -> None:
        """Exchanges with one host outside the domain in each interval."""
        while not self.should_stop:
            remote_peers = self._list_remote_peers()
            if remote_peers:
                self._remote_index += 1
                host, address = remote_peers[
                    self._remote_index % len(remote_peers)
                ]
                await self._exchange_with(host, address)
            await self.sleep(
                model.to_seconds(self._settings.heartbeat.interval_ms)
            )

    @mode.Service.task
    async def _discover(self) -> None:
        """Reads the platform's host list, where a new host finds its peers.

        The list is read more often while no other host is known.
        """
        while not self.should_stop:
            try:
                listed = await self._client.list_hosts()
                self._known_addresses.update(
                    item.address
                    for item in listed
                    if item.name != self._settings.host
                )
            except model.CowslipvalveError as error:
                model.log_event(
                    _LOGGER, "host-list-failure", logging.DEBUG, error=error
                )
            is_alone = not self._memberships.list_other_hosts()
            wait_ms = (
                _DISCOVERY_INTERVAL_MS if is_alone else _REDISCOVERY_INTERVAL_MS
            )
            await self.sleep(model.to_seconds(wait_ms))

    def _start_domain_tasks(self) -> None:
        for record in self._memberships.list_other_hosts():
            if not self._memberships.is_same_domain(record):
                continue
            if record.host not in self._domain_tasks:
                self._domain_tasks[record.host] = self.add_future(
                    self._exchange_within_domain(record.host)
                )

    async def _exchange_within_domain(self, host: str) -> None:
        """Exchanges heartbeats with one host of the domain until it is dead."""
        while not self.should_stop:
            record = self._memberships.find_host_record(host)
            if record is None or record.state is model.HostState.DEAD:
                break
            await self._exchange_with(host, record.address)
            await self.sleep(
                model.to_seconds(self._settings.heartbeat.interval_ms)
            )
        self._domain_tasks.pop(host, None)

    def _list_remote_peers(self) -> list[tuple[str, str]]:
        """Returns the names and addresses of peers outside the own domain.

        An address whose host is not known yet has an empty name.
        """
        known_hosts = self._memberships.list_other_hosts()
        remote_peers = [
            (record.host, record.address)
            for record in known_hosts
            if not self._memberships.is_same_domain(record)
        ]
        addresses = {record.address for record in known_hosts}
        unidentified_addresses = self._known_addresses - addresses
        unidentified_addresses.discard(self._settings.peer_address)
        remote_peers.extend(
            ("", address) for address in sorted(unidentified_addresses)
        )
        return remote_peers

    async def _exchange_with(self, host: str, address: str) -> None:
        try:
            async with (
                asyncio.timeout(self._timeout_s),
                self._session.post(
                    f"{self._scheme}://{address}/peer/heartbeat",
                    data=model.encode(self._build_heartbeat(host)),
                ) as response,
            ):
                text = await response.read()
                if response.status == _HTTP_OK:
                    self._merge_heartbeat(model.decode(model.Heartbeat, text))
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            model.InputError,
        ) as error:
            model.log_event(
                _LOGGER,
                "heartbeat-failure",
                logging.DEBUG,
                step="heartbeat",
                peer=host or address,
                error=repr(error),
            )

    def _build_heartbeat(self, host: str) -> model.Heartbeat:
        record = self._memberships.find_host_record(host)
        same_domain = record is not None and self._memberships.is_same_domain(
            record
        )
        return self._exchange.build_heartbeat(
            host, self._configurations.current.number, same_domain
        )

    def _merge_heartbeat(self, message: model.Heartbeat) -> None:
        self._exchange.merge(message)
        self._memberships.refresh()
        self.fetch_if_newer(message.sender, message.number)

    async def _fetch_configuration(self, host: str, number: int) -> None:
        async with self._fetch_lock:
            current = self._configurations.current.number
            record = self._memberships.find_host_record(host)
            if number <= current or record is None:
                return
            try:
                async with (
                    asyncio.timeout(self._timeout_s),
                    self._session.get(
                        f"{self._scheme}://{record.address}/peer/configuration",
                        params={"since": str(current)},
                    ) as response,
                ):
                    delta = model.decode(
                        model.ConfigurationDelta, await response.read()
                    )
            except (
                TimeoutError,
                aiohttp.ClientError,
                OSError,
                model.InputError,
            ) as error:
                # The next heartbeat from any peer with a higher number triggers
                # another fetch.
                model.log_event(
                    _LOGGER,
                    "configuration-fetch-failure",
                    logging.WARNING,
                    step="fetch-configuration",
                    peer=host,
                    error=repr(error),
                )
                return
            self._configurations.install(delta)


def create_heartbeat_service(
    settings: _settings.Settings,
    session: aiohttp.ClientSession,
    scheme: str,
    exchange: peers.Exchange,
    leases: peers.LeaseKeeper,
    memberships: _memberships.Memberships,
    configurations: _configurations.ConfigurationHolder,
    client: store.PlatformClient,
    clock: model.Clock,
) -> HeartbeatService:
    """Creates the heartbeat service of this host."""
    return HeartbeatService(
        settings,
        session,
        scheme,
        exchange,
        leases,
        memberships,
        configurations,
        client,
        clock,
    )
