"""Tests of the notices by which hosts learn of servers' rate limits."""

import asyncio
import collections
import unittest

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _servers
from cowslipvalve_standins import _clocks

_SERVER = gateway.Server(
    instance_id="i-0",
    service="orders",
    address="127.0.0.1:1",
    domain="a",
    state=gateway.ServerState.READY,
    slots=2,
)
_LIMIT = 2.0
_MAX_SENT = 3  # Notices that one host sends about one change.


class _Client:
    """Hands the notices of one host to the other hosts."""

    def __init__(self, hosts: "_Hosts", sender: str) -> None:
        self._hosts = hosts
        self._sender = sender

    async def tell(
        self, address: str, notice: gateway.LimitNotice, _: float
    ) -> None:
        """Stands in for NoticeClient.tell."""
        await asyncio.sleep(0)
        self._hosts.sent[self._sender] += 1
        if address in self._hosts.unreachable:
            raise gateway.HostUnavailableError("cut", step="tell", peer=address)
        self._hosts.news[address].receive(notice)


class _Hosts:
    """Several hosts, named by their addresses, that ask one server."""

    def __init__(self, count: int) -> None:
        self.clock = _clocks.create_manual_clock()
        records = {
            f"h{number}": gateway.HostRecord(
                name=f"h{number}", domain="a", state_address=f"h{number}"
            )
            for number in range(count)
        }
        self.news: dict[str, gateway.LimitNews] = {}
        self.catalogs: dict[str, gateway.Catalog] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.unreachable: set[str] = set()
        for name, record in records.items():
            catalog = gateway.create_catalog(self.clock, {})
            catalog.set_hosts(records)
            catalog.put_server(_SERVER)
            self.catalogs[name] = catalog
            self.news[name] = gateway.create_limit_news(
                catalog,
                self.clock,
                gateway.create_holder_ranking(catalog, self.clock, record),
                _Client(self, name),  # type: ignore[arg-type]
                gateway.create_host_health(self.clock),
            )

    def view(self, name: str) -> _servers.ServerView:
        """Returns the server as a host sees it."""
        view = self.catalogs[name].find_server(_SERVER.instance_id)
        assert view is not None
        return view

    def answer(self, name: str, requests_per_s: float) -> None:
        """Lets a host read an answer that states a limit."""
        view = self.view(name)
        if view.rate_limit.record(requests_per_s, self.clock.now_ms()):
            self.news[name].announce(view)

    def find_told(self) -> set[str]:
        """Returns the hosts that know a limit."""
        return {
            name for name in self.news if self.view(name).rate_limit.is_stated
        }


class LimitNewsTest(unittest.IsolatedAsyncioTestCase):

    async def settle(self) -> None:
        """Waits until all notices have been sent."""
        own = asyncio.current_task()
        while others := [t for t in asyncio.all_tasks() if t is not own]:
            await asyncio.gather(*others)

    async def test_all_hosts_are_told_by_few_notices_each(self) -> None:
        for count in (1, 2, 8, 75, 195):
            with self.subTest(hosts=count):
                hosts = _Hosts(count)
                hosts.answer(f"h{count - 1}", _LIMIT)
                await self.settle()
                self.assertEqual(hosts.find_told(), set(hosts.news))
                self.assertLessEqual(max(hosts.sent.values(), default=0), 3)
                self.assertLessEqual(sum(hosts.sent.values()), count)

    async def test_end_of_a_limit_is_told_too(self) -> None:
        hosts = _Hosts(20)
        hosts.answer("h3", _LIMIT)
        await self.settle()
        hosts.clock.advance(2_000.0)
        hosts.answer("h11", gateway.NO_LIMIT)
        await self.settle()
        self.assertEqual(hosts.find_told(), set())

    async def test_hosts_below_an_unreachable_host_are_told(self) -> None:
        hosts = _Hosts(75)
        hosts.unreachable = {f"h{number}" for number in range(0, 75, 4)}
        hosts.answer("h1", _LIMIT)
        await self.settle()
        self.assertEqual(hosts.find_told(), set(hosts.news) - hosts.unreachable)

    async def test_hosts_that_learn_at_once_send_few_notices(self) -> None:
        hosts = _Hosts(195)
        for name in hosts.news:
            hosts.answer(name, _LIMIT)
        await self.settle()
        self.assertLessEqual(max(hosts.sent.values()), _MAX_SENT)

    async def test_limit_that_changes_with_each_answer_causes_no_storm(
        self,
    ) -> None:
        hosts = _Hosts(8)
        for number in range(100):
            hosts.answer("h0", _LIMIT + number)
            hosts.clock.advance(10.0)
            await self.settle()
        # Two changes a second are told.
        self.assertLessEqual(max(hosts.sent.values()), 2 * _MAX_SENT)


if __name__ == "__main__":
    unittest.main()
