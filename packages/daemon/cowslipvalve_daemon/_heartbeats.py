"""Sends heartbeats to the other hosts and learns from their answers."""

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
_DISCOVERY_MS = 5_000  # Between readings of the list while nobody is known.
_REDISCOVERY_MS = 60_000  # Bounds what a large deployment asks the platform.
_HTTP_OK = 200
_MAX_PUSHED = 16  # Hosts that are reached at once by a push.


class HeartbeatService(mode.Service):
    """Keeps one task for each host of the domain and one for the others."""

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
        self._timeout = aiohttp.ClientTimeout(
            total=model.to_seconds(settings.heartbeat.dead_ms)
        )
        self._mates: dict[str, asyncio.Future[None]] = {}
        self._known_addresses: set[str] = set(settings.peers)
        self._fetch = asyncio.Lock()
        self._turn = 0
        self.holding: Callable[[], tuple[str, ...]] = tuple

    def answer(self, message: model.Heartbeat) -> model.Heartbeat:
        """Takes in a peer's heartbeat and returns this host's."""
        self._take(message)
        return self._build(message.sender)

    def fetch_if_newer(self, host: str, number: int) -> None:
        """Fetches the configuration of a peer that is ahead."""
        if number > self._configurations.current.number:
            self.add_future(self._fetch_configuration(host, number))

    async def push(self) -> None:
        """Sends what is new to the other hosts at once.

        In a large deployment a bounded number of them passes it on.
        """
        reached = [
            self._exchange_with(record.host, record.address)
            for record in self._memberships.other_hosts()[:_MAX_PUSHED]
        ]
        await asyncio.gather(*reached)

    @mode.Service.task
    async def _beat(self) -> None:
        while not self.should_stop:
            self._leases.advance_heartbeat(self.holding())
            self._memberships.refresh()
            self._start_mates()
            await self.sleep(
                model.to_seconds(self._settings.heartbeat.interval_ms)
            )

    @mode.Service.task
    async def _reach_others(self) -> None:
        """Exchanges with one host of another domain in each interval."""
        while not self.should_stop:
            others = self._others()
            if others:
                self._turn += 1
                host, address = others[self._turn % len(others)]
                await self._exchange_with(host, address)
            await self.sleep(
                model.to_seconds(self._settings.heartbeat.interval_ms)
            )

    @mode.Service.task
    async def _discover(self) -> None:
        """Reads the platform's list, so that a new host finds the others."""
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
            is_alone = not self._memberships.other_hosts()
            wait_ms = _DISCOVERY_MS if is_alone else _REDISCOVERY_MS
            await self.sleep(model.to_seconds(wait_ms))

    def _start_mates(self) -> None:
        for record in self._memberships.other_hosts():
            if not self._memberships.is_domain_mate(record):
                continue
            if record.host not in self._mates:
                self._mates[record.host] = self.add_future(
                    self._reach_mate(record.host)
                )

    async def _reach_mate(self, host: str) -> None:
        """Exchanges with one host of the domain until it is dead."""
        while not self.should_stop:
            record = self._memberships.host_record(host)
            if record is None or record.state is model.HostState.DEAD:
                break
            await self._exchange_with(host, record.address)
            await self.sleep(
                model.to_seconds(self._settings.heartbeat.interval_ms)
            )
        self._mates.pop(host, None)

    def _others(self) -> list[tuple[str, str]]:
        """Returns other domains' hosts, and addresses not known as hosts."""
        known = self._memberships.other_hosts()
        others = [
            (record.host, record.address)
            for record in known
            if not self._memberships.is_domain_mate(record)
        ]
        addresses = {record.address for record in known}
        strangers = self._known_addresses - addresses
        strangers.discard(self._settings.peer_address)
        others.extend(("", address) for address in sorted(strangers))
        return others

    async def _exchange_with(self, host: str, address: str) -> None:
        try:
            async with self._session.post(
                f"{self._scheme}://{address}/peer/heartbeat",
                data=model.encode(self._build(host)),
                timeout=self._timeout,
            ) as response:
                text = await response.read()
                if response.status == _HTTP_OK:
                    self._take(model.decode(model.Heartbeat, text))
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

    def _build(self, host: str) -> model.Heartbeat:
        record = self._memberships.host_record(host)
        is_mate = record is not None and self._memberships.is_domain_mate(
            record
        )
        return self._exchange.build(
            host, self._configurations.current.number, is_mate
        )

    def _take(self, message: model.Heartbeat) -> None:
        self._exchange.merge(message)
        self._memberships.refresh()
        self.fetch_if_newer(message.sender, message.number)

    async def _fetch_configuration(self, host: str, number: int) -> None:
        async with self._fetch:
            current = self._configurations.current.number
            record = self._memberships.host_record(host)
            if number <= current or record is None:
                return
            try:
                async with self._session.get(
                    f"{self._scheme}://{record.address}/peer/configuration",
                    params={"since": str(current)},
                    timeout=self._timeout,
                ) as response:
                    delta = model.decode(
                        model.ConfigurationDelta, await response.read()
                    )
            except (
                TimeoutError,
                aiohttp.ClientError,
                OSError,
                model.InputError,
            ) as error:
                # The next heartbeat of any peer that is ahead tries again.
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
    """Returns the heartbeats of this host."""
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
