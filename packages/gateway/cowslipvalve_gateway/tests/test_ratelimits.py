"""Unit tests of the limits that servers state and of their division."""

import collections
import unittest
from collections.abc import Coroutine

import attrs
import hypothesis
from hypothesis import strategies

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _servers
from cowslipvalve_standins import _clocks

_DOMAINS = ("a", "b", "c")
_SERVER = gateway.Server(
    instance_id="i-0",
    service="orders",
    address="127.0.0.1:1",
    domain="a",
    state=gateway.ServerState.READY,
    slots=2,
)
_WINDOW_MS = 4_000.0
_RUNNING_MS = 60_000.0  # For how long the hosts have run before a test.


def _compute_allowed(requests_per_s: float) -> float:
    """Returns what a server may get in a window, as the contract states."""
    return 1.5 * requests_per_s * _WINDOW_MS / 1_000.0 + 5


def _create_hosts(count: int) -> dict[str, gateway.HostRecord]:
    records = (
        gateway.HostRecord(
            name=f"host-{number}",
            domain=_DOMAINS[number % len(_DOMAINS)],
            state_address=f"10.0.0.{number}:1",
        )
        for number in range(count)
    )
    return {record.name: record for record in records}


class _Hosts:
    """Limiters of several hosts, which give permits without a network.

    The first hosts are registered, and all hosts know just these.
    """

    def __init__(self, count: int, registered: int | None = None) -> None:
        self.clock = _clocks.create_manual_clock()
        self.records = _create_hosts(count)
        self.registered = _create_hosts(
            count if registered is None else registered
        )
        self.by_address = {
            r.state_address: name for name, r in self.records.items()
        }
        self.catalogs: dict[str, gateway.Catalog] = {}
        self.limiters: dict[str, gateway.Limiter] = {}
        self.unreachable: set[str] = set()
        # The timeouts of questions to unreachable hosts, in ms.
        self.timeouts_ms: list[float] = []
        for name in self.records:
            self.restart(name)
        self.clock.advance(_RUNNING_MS)

    def restart(self, name: str) -> None:
        """Creates a host that knows the other hosts and no limit."""
        catalog = gateway.create_catalog(
            self.clock,
            {},
            gateway.create_group_planner(self.records[name]),
        )
        catalog.set_table(
            gateway.RoutingTable(version=1, routes=(), services={})
        )
        catalog.set_hosts(self.registered)
        catalog.put_server(_SERVER)
        self.catalogs[name] = catalog
        self.limiters[name] = gateway.create_limiter(
            catalog,
            self.clock,
            gateway.create_holder_ranking(
                catalog, self.clock, self.records[name]
            ),
            self,  # type: ignore[arg-type]
            gateway.create_host_health(self.clock),
        )

    async def ask(
        self, address: str, request: gateway.PermitRequest, timeout_ms: float
    ) -> gateway.PermitReply:
        """Stands in for the client that asks other hosts."""
        name = self.by_address[address]
        if name in self.unreachable:
            self.timeouts_ms.append(timeout_ms)
            self.clock.advance(timeout_ms)
            raise gateway.HostUnavailableError("cut", step="ask", peer=name)
        return self.limiters[name].answer(request)

    def view(self, name: str) -> _servers.ServerView:
        """Returns the server as a host sees it."""
        view = self.catalogs[name].find_server(_SERVER.instance_id)
        assert view is not None
        return view

    def state(self, name: str, requests_per_s: float) -> None:
        """Lets a host read an answer that states a limit."""
        limit = self.view(name).rate_limit
        limit.record(requests_per_s, self.clock.now_ms())

    def state_to_all(self, requests_per_s: float) -> None:
        """Lets all hosts read an answer that states a limit."""
        for name in self.records:
            self.state(name, requests_per_s)

    async def try_send(self, name: str, is_hedge: bool = False) -> bool:
        """Returns whether a host may send a request to the server now."""
        limiter, view = self.limiters[name], self.view(name)
        may_ask = not is_hedge and limiter.has_lender(view)
        if not limiter.has_token(view, is_hedge) and not may_ask:
            return False
        if limiter.admit(view) is not gateway.Admission.PERMIT_NEEDED:
            return True
        try:
            await limiter.ask_permit(view)
        except gateway.RateLimitedError:
            return False
        return True


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 99),  # The host, modulo their number.
        strategies.integers(1, 12),  # How many requests it wants to send.
        strategies.sampled_from((0, 0, 0, 30, 200, 1_500)),  # A pause in ms.
    ),
    min_size=20,
    max_size=150,
)


def _run(coroutine: Coroutine[None, None, bool]) -> bool:
    """Runs a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return bool(stop.value)
    raise AssertionError("the coroutine waits")


class SharedLimitTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.sampled_from((1, 2, 8, 75, 195)),
        strategies.sampled_from((0.0, 0.3, 1.1, 2.7, 13.5, 40.0)),
        _STEPS,
    )
    def test_hosts_together_stay_within_the_limit(
        self, count: int, limit: float, steps: list[tuple[int, int, int]]
    ) -> None:
        hosts = _Hosts(count)
        hosts.state_to_all(limit)
        sent: list[float] = []
        for number, wanted, pause_ms in steps:
            name = f"host-{number % count}"
            for _ in range(wanted):
                if _run(hosts.try_send(name)):
                    sent.append(hosts.clock.now_ms())
                    hosts.state(name, limit)
            self._check_window(hosts, sent, limit)
            hosts.clock.advance(pause_ms)

    def _check_window(
        self, hosts: _Hosts, sent: list[float], limit: float
    ) -> None:
        start_ms = hosts.clock.now_ms() - _WINDOW_MS
        recent = sum(time_ms > start_ms for time_ms in sent)
        self.assertLessEqual(recent, _compute_allowed(limit))

    def _play(
        self, hosts: _Hosts, limit: float, duration_ms: float, names: list[str]
    ) -> list[float]:
        """Lets hosts send all they may; returns when requests were sent."""
        sent: list[float] = []
        end_ms = hosts.clock.now_ms() + duration_ms
        while hosts.clock.now_ms() < end_ms:
            for name in names:
                if _run(hosts.try_send(name)):
                    sent.append(hosts.clock.now_ms())
                    hosts.state(name, limit)
            self._check_window(hosts, sent, limit)
            hosts.clock.advance(25.0)
        return sent

    def test_hosts_use_what_the_server_takes(self) -> None:
        for count, limit in ((8, 13.5), (8, 1.4), (75, 3.8), (195, 10.0)):
            with self.subTest(hosts=count, limit=limit):
                hosts = _Hosts(count)
                hosts.state_to_all(limit)
                sent = self._play(hosts, limit, 20_000.0, list(hosts.records))
                self.assertGreater(len(sent), 0.9 * limit * 20)

    def test_busy_host_uses_shares_of_idle_hosts(self) -> None:
        for count, limit in ((8, 10.0), (8, 2.0), (75, 1.0), (75, 40.0)):
            with self.subTest(hosts=count, limit=limit):
                hosts = _Hosts(count)
                hosts.state_to_all(limit)
                sent = self._play(hosts, limit, 20_000.0, ["host-0"])
                self.assertGreater(len(sent), 0.8 * limit * 20)

    def test_host_without_a_share_sends_with_permits(self) -> None:
        hosts = _Hosts(75)
        hosts.state_to_all(1.0)
        others = [n for n in hosts.records if not self._has_share(hosts, n)]
        self.assertEqual(len(others), 70)
        sent = self._play(hosts, 1.0, 20_000.0, others[:1])
        self.assertGreater(len(sent), 5)

    def _has_share(self, hosts: _Hosts, name: str) -> bool:
        admission = hosts.limiters[name].admit(hosts.view(name))
        return admission is gateway.Admission.TOKEN_TAKEN

    def test_host_that_reaches_no_holder_sends_nothing(self) -> None:
        hosts = _Hosts(75)
        hosts.state_to_all(1.0)
        others = [n for n in hosts.records if not self._has_share(hosts, n)]
        hosts.unreachable = set(hosts.records)
        self.assertEqual(self._play(hosts, 1.0, 3_000.0, others[:1]), [])
        # A timeout of 0 would be none.
        self.assertEqual(set(hosts.timeouts_ms), {150.0})

    def test_restarted_holder_permits_nothing_that_was_used_before(
        self,
    ) -> None:
        hosts = _Hosts(1 + 74)
        hosts.state_to_all(1.0)
        others = [n for n in hosts.records if not self._has_share(hosts, n)]
        holders = [n for n in hosts.records if n not in others]
        sent: list[float] = []
        for name in holders:
            hosts.restart(name)
            sent += self._play(hosts, 1.0, 400.0, others[:3])
        self.assertLessEqual(len(sent), _compute_allowed(1.0))

    def test_hosts_that_restart_repeatedly_have_no_new_bursts(self) -> None:
        hosts = _Hosts(8)
        hosts.state_to_all(2.0)
        sent: list[float] = []
        for name in [*hosts.records] * 4:
            for busy in hosts.records:
                while _run(hosts.try_send(busy)):
                    sent.append(hosts.clock.now_ms())
                    hosts.state(busy, 2.0)
            hosts.restart(name)
            hosts.state(name, 2.0)
            self._check_window(hosts, sent, 2.0)
            hosts.clock.advance(100.0)
        self.assertLessEqual(len(sent), _compute_allowed(2.0))

    def test_hosts_that_are_not_registered_add_nothing(self) -> None:
        for registered in (1, 3, 8):
            with self.subTest(registered=registered):
                hosts = _Hosts(registered + 8, registered)
                hosts.state_to_all(10.0)
                self._play(hosts, 10.0, 8_000.0, list(hosts.records))

    def test_added_host_has_no_share_before_others_know_it(self) -> None:
        hosts = _Hosts(8)
        hosts.state_to_all(10.0)
        hosts.catalogs["host-7"].own_registered_ms = hosts.clock.now_ms()
        self.assertFalse(self._has_share(hosts, "host-7"))
        hosts.clock.advance(3_000.0)
        self.assertFalse(self._has_share(hosts, "host-7"))
        hosts.clock.advance(1_000.0)  # A token of 10/s for 8 hosts.
        self.assertTrue(self._has_share(hosts, "host-7"))

    def test_hosts_that_know_no_hosts_send_little(self) -> None:
        hosts = _Hosts(8, registered=0)
        hosts.state_to_all(10.0)
        sent = self._play(hosts, 10.0, 8_000.0, list(hosts.records))
        self.assertGreater(len(sent), 0.5 * 10.0 * 8)

    def test_server_that_registers_again_keeps_its_limit(self) -> None:
        hosts = _Hosts(8)
        hosts.state_to_all(10.0)
        sent = self._play(hosts, 10.0, 2_000.0, list(hosts.records))
        for name in hosts.records:
            catalog = hosts.catalogs[name]
            catalog.drop_server(_SERVER.instance_id, 0.0)
            self.assertIsNone(catalog.find_server(_SERVER.instance_id))
            catalog.put_server(_SERVER)
            self.assertTrue(hosts.view(name).rate_limit.is_stated)
            for _ in range(20):
                if _run(hosts.try_send(name)):
                    sent.append(hosts.clock.now_ms())
        self._check_window(hosts, sent, 10.0)

    def test_server_that_starts_again_has_no_limit(self) -> None:
        hosts = _Hosts(1)
        hosts.state("host-0", 1.0)
        hosts.catalogs["host-0"].put_server(attrs.evolve(_SERVER, started_ms=1))
        self.assertFalse(hosts.view("host-0").rate_limit.is_stated)

    def test_hedge_leaves_a_token_for_a_first_attempt(self) -> None:
        hosts = _Hosts(1)
        hosts.state("host-0", 1.0)
        hedges = 0
        while _run(hosts.try_send("host-0", is_hedge=True)):
            hedges += 1
        self.assertEqual(hedges, 4)
        self.assertTrue(_run(hosts.try_send("host-0")))
        self.assertFalse(_run(hosts.try_send("host-0")))

    def test_lowered_limit_takes_effect_at_once(self) -> None:
        hosts = _Hosts(8)
        hosts.state_to_all(40.0)
        self._play(hosts, 40.0, 10_000.0, list(hosts.records))
        hosts.state_to_all(1.0)
        self._play(hosts, 1.0, 10_000.0, list(hosts.records))

    def test_raised_limit_is_used(self) -> None:
        hosts = _Hosts(8)
        hosts.state_to_all(1.0)
        self._play(hosts, 1.0, 4_000.0, list(hosts.records))
        hosts.state_to_all(20.0)
        sent = self._play(hosts, 20.0, 4_000.0, list(hosts.records))
        self.assertGreater(len(sent), 0.9 * 20.0 * 4)

    def test_limit_ends_with_a_later_answer_only(self) -> None:
        hosts = _Hosts(1)
        sent_ms = hosts.clock.now_ms()
        hosts.clock.advance(10.0)
        hosts.state("host-0", 1.0)
        limit = hosts.view("host-0").rate_limit
        hosts.clock.advance(10.0)
        limit.record(gateway.NO_LIMIT, sent_ms)
        self.assertTrue(limit.is_stated)
        limit.record(gateway.NO_LIMIT, hosts.clock.now_ms())
        self.assertFalse(limit.is_stated)

    def test_news_of_a_limit_outweighs_an_answer_under_way(self) -> None:
        hosts = _Hosts(1)
        limit = hosts.view("host-0").rate_limit
        sent_ms = hosts.clock.now_ms()
        hosts.clock.advance(30.0)
        stated_ms = hosts.clock.now_ms()
        hosts.clock.advance(10.0)
        limit.record(gateway.NO_LIMIT, sent_ms)
        self.assertTrue(limit.learn(1.0, stated_ms))

    def test_host_without_a_share_learns_that_the_limit_has_ended(self) -> None:
        hosts = _Hosts(75)
        hosts.state_to_all(0.3)
        others = [n for n in hosts.records if not self._has_share(hosts, n)]
        hosts.clock.advance(50.0)
        for name in hosts.records:
            if name not in others:
                hosts.state(name, gateway.NO_LIMIT)
        self.assertTrue(_run(hosts.try_send(others[0])))
        self.assertFalse(hosts.view(others[0]).rate_limit.is_stated)

    def test_holders_are_spread_over_domains_and_servers(self) -> None:
        records = _create_hosts(75).values()
        chosen = [
            gateway.rank_holders(records, f"server-{number}")[:6]
            for number in range(20)
        ]
        for hosts in chosen:
            domains = collections.Counter(host.domain for host in hosts)
            self.assertEqual(set(domains.values()), {2})
        names = {host.name for hosts in chosen for host in hosts}
        self.assertGreater(len(names), 40)
