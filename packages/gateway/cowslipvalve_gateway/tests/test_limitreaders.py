"""Tests of what a host asks other hosts about rate limits at its start."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import cowslipvalve_base as base
import cowslipvalve_gateway as gateway

_SERVERS = tuple(
    gateway.Server(
        instance_id=f"i-{number}",
        service=f"orders-{number}",
        address=f"127.0.0.1:{number}",
        domain="a",
        state=gateway.ServerState.READY,
        slots=2,
    )
    for number in range(2)
)
_HOSTS = {
    name: gateway.HostRecord(name=name, domain="a", state_address=name)
    for name in ("h0", "h1", "h2", "h3")
}
_TABLE = gateway.RoutingTable(
    version=1,
    routes=tuple(
        gateway.Route(
            name=server.service,
            host="search.example",
            path_prefix=f"/{server.service}/",
            split=(gateway.Share(service=server.service, weight=1),),
            is_idempotent=True,
            max_attempts=2,
            timeout_ms=1_000.0,
            target_ms=100.0,
        )
        for server in _SERVERS
    ),
    services={},
)
_LIMIT = gateway.LimitNotice(server="i-0", requests_per_s=2.0, age_ms=50.0)
_MAX_WAIT_S = 0.2  # Twice what requests wait, for busy machines.

_Fetch = Callable[[str], Awaitable[gateway.LimitList]]


class _Client:
    """Stands in for the client that asks other hosts."""

    def __init__(self, fetch: _Fetch) -> None:
        self.asked: list[str] = []
        self._fetch = fetch

    async def fetch(
        self, address: str, query: gateway.LimitQuery, _: float
    ) -> gateway.LimitList:
        """Stands in for NoticeClient.fetch."""
        assert query.host == "h0"
        self.asked.append(address)
        return await self._fetch(address)


async def _fetch_limit(_: str) -> gateway.LimitList:
    return gateway.LimitList(limits=(_LIMIT,))


async def _fetch_from_silent_host(_: str) -> gateway.LimitList:
    await asyncio.sleep(5.0)
    return gateway.LimitList(limits=())


async def _fetch_from_dead_host(address: str) -> gateway.LimitList:
    raise gateway.HostUnavailableError("refused", step="fetch", peer=address)


async def _fetch_from_one_host(address: str) -> gateway.LimitList:
    return await (_fetch_limit if address == "h2" else _fetch_nothing)(address)


async def _fetch_nothing(_: str) -> gateway.LimitList:
    return gateway.LimitList(limits=())


class LimitReaderTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self) -> None:
        self.clock = base.create_clock()
        self.catalog = gateway.create_catalog(self.clock, {})

    def complete_catalog(
        self, hosts: dict[str, gateway.HostRecord] = _HOSTS
    ) -> None:
        """Lets the host know all that it reads at its start."""
        for server in _SERVERS:
            self.catalog.put_server(server)
        self.catalog.set_hosts(hosts)
        self.catalog.set_table(_TABLE)
        self.catalog.retain_servers(
            frozenset(s.instance_id for s in _SERVERS), 0
        )

    async def start_reader(self, fetch: _Fetch) -> gateway.LimitReader:
        """Starts a reader and its client, which is kept as an attribute."""
        self.client = _Client(fetch)
        ranking = gateway.create_holder_ranking(
            self.catalog, self.clock, _HOSTS["h0"]
        )
        client: gateway.NoticeClient = self.client  # type: ignore[assignment]
        news = gateway.create_limit_news(
            self.catalog,
            self.clock,
            ranking,
            client,
            gateway.create_host_health(self.clock),
        )
        reader = gateway.create_limit_reader(
            self.catalog,
            self.clock,
            ranking,
            client,
            news,
            gateway.create_quarantine(self.clock),
        )
        await reader.start()
        self.addAsyncCleanup(reader.stop)
        return reader

    def is_limited(self, instance_id: str) -> bool:
        view = self.catalog.find_server(instance_id)
        assert view is not None
        return view.rate_limit.is_stated

    async def test_limits_are_known_before_the_first_request(self) -> None:
        reader = await self.start_reader(_fetch_limit)
        await asyncio.sleep(0.02)
        self.assertFalse(reader.is_done)
        self.complete_catalog()
        await reader.wait_until_done()
        self.assertTrue(self.is_limited("i-0"))
        self.assertFalse(self.is_limited("i-1"))

    async def test_one_of_the_hosts_that_are_asked_may_have_just_started(
        self,
    ) -> None:
        hosts = {name: _HOSTS[name] for name in ("h0", "h1", "h2")}
        self.complete_catalog(hosts)
        reader = await self.start_reader(_fetch_from_one_host)
        await reader.wait_until_done()
        self.assertEqual(set(self.client.asked), {"h1", "h2"})
        self.assertTrue(self.is_limited("i-0"))

    async def test_requests_do_not_wait_long_for_the_limits(self) -> None:
        for name, hosts, fetch in (
            ("silent hosts", _HOSTS, _fetch_from_silent_host),
            ("dead hosts", _HOSTS, _fetch_from_dead_host),
            ("no other host", {"h0": _HOSTS["h0"]}, _fetch_limit),
            ("hosts are not known", {}, _fetch_limit),
        ):
            with self.subTest(name):
                self.setUp()
                self.complete_catalog(hosts)
                reader = await self.start_reader(fetch)
                async with asyncio.timeout(_MAX_WAIT_S):
                    await reader.wait_until_done()
                self.assertTrue(reader.is_done)
                await reader.stop()

    async def test_requests_do_not_wait_once_the_host_stops(self) -> None:
        reader = await self.start_reader(_fetch_limit)
        await reader.stop()
        async with asyncio.timeout(_MAX_WAIT_S):
            await reader.wait_until_done()


if __name__ == "__main__":
    unittest.main()
