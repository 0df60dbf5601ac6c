"""Tests of the leases, with paused, stopped and restarted hosts."""

import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_standins import _clocks

_TIMES = peers.LeaseTimes(heartbeat_ms=250, dead_ms=900, lease_ms=1_500)
_HOSTS = ("a", "b", "c")
_SERVERS = tuple(f"server-{number}" for number in range(6))
_TICK_MS = 10
_MAX_DELAY_MS = 150


@attrs.define(eq=False)
class _SimulatedHost:
    keeper: peers.LeaseKeeper
    next_heartbeat_ms: float
    is_stopped: bool = False
    inbox: list[tuple[model.HeartbeatRecord, ...]] = attrs.field(factory=list)


class _Domain:
    """Hosts of one domain that exchange heartbeats with random delays."""

    def __init__(self, seed: int) -> None:
        self.clock = _clocks.create_manual_clock()
        self.random = random.Random(seed)
        self.hosts: dict[str, _SimulatedHost] = {}
        self.incarnation = 0
        # Two hosts that do not exchange heartbeats directly.
        self.partitioned_pair: tuple[str, ...] = ()
        self.in_flight: list[
            tuple[float, str, tuple[model.HeartbeatRecord, ...]]
        ] = []
        for name in _HOSTS:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnation += 1
        keeper = peers.create_lease_keeper(
            self.clock, _TIMES, name, self.incarnation
        )
        self.hosts[name] = _SimulatedHost(keeper, self.clock.now_ms())

    def run(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / _TICK_MS)):
            self.clock.advance(_TICK_MS)
            self._deliver()
            for name, host in self.hosts.items():
                if not host.is_stopped:
                    self._run_host(name, host)
            self.check()

    def check(self) -> None:
        for server in _SERVERS:
            homes = self.homes(server)
            assert len(homes) < 2, f"{server} has the homes {homes}"

    def homes(self, server: str) -> list[str]:
        return [
            name
            for name, host in self.hosts.items()
            if not host.is_stopped and self._is_home(name, host, server)
        ]

    def _is_home(self, name: str, host: _SimulatedHost, server: str) -> bool:
        first = policy.choose_name(host.keeper.live_hosts(), server)
        return first == name and host.keeper.may_serve(server)

    def _run_host(self, name: str, host: _SimulatedHost) -> None:
        for records in host.inbox:
            host.keeper.merge(records)
        host.inbox.clear()
        if self.clock.now_ms() < host.next_heartbeat_ms:
            return
        host.next_heartbeat_ms = self.clock.now_ms() + _TIMES.heartbeat_ms
        host.keeper.advance_heartbeat(())
        for other in self.hosts:
            if other != name and {name, other} != set(self.partitioned_pair):
                delay_ms = self.random.uniform(0, _MAX_DELAY_MS)
                records = host.keeper.collect_heartbeats(other)
                self.in_flight.append(
                    (self.clock.now_ms() + delay_ms, other, records)
                )

    def _deliver(self) -> None:
        now_ms = self.clock.now_ms()
        due = [item for item in self.in_flight if item[0] <= now_ms]
        self.in_flight = [item for item in self.in_flight if item[0] > now_ms]
        for _, name, records in due:
            if name in self.hosts:
                self.hosts[name].inbox.append(records)


_ACTIONS = strategies.tuples(
    strategies.sampled_from(("pause", "stop", "kill", "leave")),
    strategies.sampled_from(_HOSTS),
    strategies.integers(1, 400).map(lambda tenths: tenths * _TICK_MS),
)


class LeaseKeeperTest(unittest.TestCase):

    def test_every_server_gets_one_home(self) -> None:
        domain = _Domain(seed=1)
        domain.run(3_000)
        for server in _SERVERS:
            self.assertEqual(len(domain.homes(server)), 1, server)

    def test_takeover_happens_after_the_lease_has_ended(self) -> None:
        domain = _Domain(seed=2)
        domain.run(3_000)
        server = _SERVERS[0]
        home = domain.homes(server)[0]
        del domain.hosts[home]
        domain.run(_TIMES.dead_ms)
        self.assertEqual(domain.homes(server), [])
        domain.run(2 * _TIMES.lease_ms)
        self.assertEqual(len(domain.homes(server)), 1)

    def test_paused_home_has_no_lease_when_it_resumes(self) -> None:
        domain = _Domain(seed=3)
        domain.run(3_000)
        server = _SERVERS[0]
        name = domain.homes(server)[0]
        domain.hosts[name].is_stopped = True
        domain.run(4_000)
        domain.hosts[name].is_stopped = False
        self.assertEqual(domain.hosts[name].keeper.remaining_lease_ms(), 0)
        domain.check()

    def test_leaving_host_is_replaced_before_its_lease_ends(self) -> None:
        domain = _Domain(seed=4)
        domain.run(3_000)
        server = _SERVERS[0]
        name = domain.homes(server)[0]
        domain.hosts[name].keeper.leave()
        domain.run(2 * _TIMES.heartbeat_ms + 2 * _MAX_DELAY_MS)
        self.assertEqual(len(domain.homes(server)), 1)
        self.assertNotEqual(domain.homes(server), [name])

    def test_promises_are_forwarded_by_a_third_host(self) -> None:
        domain = _Domain(seed=6)
        domain.partitioned_pair = ("a", "b")
        domain.run(6_000)
        for server in _SERVERS:
            self.assertEqual(len(domain.homes(server)), 1, server)

    def test_only_own_heartbeat_is_sent_in_normal_operation(self) -> None:
        domain = _Domain(seed=7)
        domain.run(12_000)
        records = domain.hosts["a"].keeper.collect_heartbeats("b")
        self.assertEqual([record.host for record in records], ["a"])

    def test_single_host_becomes_home(self) -> None:
        domain = _Domain(seed=5)
        for name in _HOSTS[1:]:
            del domain.hosts[name]
        domain.run(3_000)
        self.assertEqual(domain.homes(_SERVERS[0]), [_HOSTS[0]])

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(0, 1 << 30),
        strategies.lists(_ACTIONS, min_size=1, max_size=8),
    )
    def test_no_server_ever_has_two_homes(
        self, seed: int, actions: list[tuple[str, str, int]]
    ) -> None:
        domain = _Domain(seed)
        domain.run(2_500)
        for action, name, wait_ms in actions:
            host = domain.hosts[name]
            if action == "pause":
                host.is_stopped = True
                domain.run(wait_ms)
                host.is_stopped = False
            elif action == "stop":
                host.is_stopped = True
            elif action == "leave":
                host.keeper.leave()
            else:
                domain.start(name)
            domain.check()
            domain.run(wait_ms)
        domain.run(2_000)


if __name__ == "__main__":
    unittest.main()
