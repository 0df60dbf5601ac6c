"""Unit tests of the plan by which hosts ask groups of shards."""

import collections
import unittest

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_SHARDS = tuple(f"shard-{number}" for number in range(87))
_DOMAINS = ("a", "b", "c", "d", "e", "f")


def _create_hosts(
    per_domain: int, strong: int = 0
) -> dict[str, gateway.HostRecord]:
    return {
        f"{domain}-{number}": gateway.HostRecord(
            name=f"{domain}-{number}",
            domain=domain,
            state_address=f"10.0.0.{number}:1",
            capacity=2.0 if number < strong else 0.5,
        )
        for domain in _DOMAINS
        for number in range(per_domain)
    }


def _plan(
    hosts: dict[str, gateway.HostRecord], own: str
) -> gateway.GroupPlanner:
    planner = gateway.create_group_planner(hosts[own])
    planner.update([_SHARDS], hosts)
    return planner


class GroupPlannerTest(unittest.TestCase):

    def test_groups_hold_each_shard_once(self) -> None:
        for per_domain, strong in ((2, 0), (10, 0), (33, 3), (33, 1)):
            with self.subTest(per_domain=per_domain, strong=strong):
                hosts = _create_hosts(per_domain, strong)
                groups = _plan(hosts, "a-0").find_groups(_SHARDS)
                asked = [shard for group in groups for shard in group.shards]
                self.assertCountEqual(asked, _SHARDS)
                self.assertGreater(len(groups), 1)

    def test_hosts_of_a_domain_agree(self) -> None:
        hosts = _create_hosts(10)
        plans = {
            _plan(hosts, f"b-{number}").find_groups(_SHARDS)
            for number in range(10)
        }
        self.assertEqual(len(plans), 1)

    def test_groups_stay_in_the_domain_on_strong_hosts_first(self) -> None:
        groups = _plan(_create_hosts(33, 3), "c-7").find_groups(_SHARDS)
        preferred = {group.hosts[0].name for group in groups}
        self.assertEqual(len(preferred), len(groups))
        self.assertTrue({"c-0", "c-1", "c-2"} <= preferred)
        for group in groups:
            self.assertEqual({host.domain for host in group.hosts}, {"c"})
            self.assertEqual(len({host.name for host in group.hosts}), 2)

    def test_no_host_gets_much_more_work_than_its_capacity(self) -> None:
        # A host that gets two groups asks its last shards twice as late.
        for shards in (_SHARDS, tuple(f"s-{n}" for n in range(129))):
            hosts = _create_hosts(33, 3)
            planner = gateway.create_group_planner(hosts["a-5"])
            planner.update([shards], hosts)
            groups = planner.find_groups(shards)
            capacity = sum(group.hosts[0].capacity for group in groups)
            for group in groups:
                fair = len(shards) * group.hosts[0].capacity / capacity
                self.assertLess(len(group.shards), 1.5 * fair + 4)
            self.assertLess(len(groups), 10)

    def test_small_fan_outs_and_lone_hosts_ask_directly(self) -> None:
        planner = _plan(_create_hosts(1), "a-0")
        self.assertEqual(planner.find_groups(_SHARDS), ())
        hosts = _create_hosts(10)
        planner = gateway.create_group_planner(hosts["a-0"])
        planner.update([_SHARDS[:30]], hosts)
        self.assertEqual(planner.find_groups(_SHARDS[:30]), ())
        self.assertEqual(planner.find_share(_SHARDS[0]), 1 / len(hosts))

    def test_shares_of_all_hosts_stay_within_the_limit(self) -> None:
        hosts = _create_hosts(33, 3)
        # A domain of a single host asks directly.
        for number in range(1, 33):
            del hosts[f"f-{number}"]
        planners = [_plan(hosts, name) for name in hosts]
        for shard in _SHARDS:
            shares = [planner.find_share(shard) for planner in planners]
            self.assertLessEqual(sum(shares), 1.0 + 1e-9)
            # Those who ask most have most of it.
            self.assertGreater(sum(sorted(shares)[-12:]), 0.7)

    def test_shares_of_overlapping_fan_outs_stay_within_the_limit(self) -> None:
        hosts = _create_hosts(10, 2)
        totals: dict[str, float] = dict.fromkeys(_SHARDS, 0.0)
        for own in hosts.values():
            planner = gateway.create_group_planner(own)
            planner.update([_SHARDS, _SHARDS[10:], _SHARDS[:60]], hosts)
            for shard in _SHARDS:
                totals[shard] += planner.find_share(shard)
        self.assertLessEqual(max(totals.values()), 1.0 + 1e-9)

    def test_host_that_leaves_moves_few_shards(self) -> None:
        hosts = _create_hosts(10)
        before = _find_preferred(_plan(hosts, "a-0"))
        leaving = collections.Counter(before.values()).most_common(1)[0][0]
        del hosts[leaving]
        own = next(name for name in hosts if name.startswith("a-"))
        after = _find_preferred(_plan(hosts, own))
        moved = [s for s in _SHARDS if before[s] != after[s]]
        lost = [s for s in _SHARDS if before[s] == leaving]
        self.assertLess(len(moved), 3 * len(lost))


class PreparationTest(unittest.TestCase):

    def test_few_hosts_connect_to_a_server_ahead(self) -> None:
        # Servers of a new set of shards register before a route names them.
        # If each of 198 hosts connected to them, servers that accept 120
        # connections would reset the rest, and later those of requests.
        hosts = _create_hosts(33, 3)
        # Each case: the shards of a route, the service of a route to a single
        # server, and how many hosts may connect to a server of any shard.
        cases = (((), "", 0), (_SHARDS, "", 12), (_SHARDS, _SHARDS[0], 12))
        for shards, single, most in cases:
            with self.subTest(shards=len(shards), single=single):
                counts = collections.Counter[str]()
                for own in hosts.values():
                    counts.update(_find_prepared(own, hosts, shards, single))
                self.assertLessEqual(max(counts.values(), default=0), most)


def _find_prepared(
    own: gateway.HostRecord,
    hosts: dict[str, gateway.HostRecord],
    shards: tuple[str, ...],
    single: str,
) -> list[str]:
    """Returns the addresses of the servers to which a host connects ahead."""
    clock = _clocks.create_manual_clock()
    catalog = gateway.create_catalog(
        clock, {}, gateway.create_group_planner(own)
    )
    route = gateway.Route(
        name="wide",
        host="search.example",
        path_prefix="/",
        is_idempotent=True,
        timeout_ms=1_000.0,
        target_ms=200.0,
        max_attempts=3,
        shards=shards,
    )
    routes: tuple[gateway.Route, ...] = (route,) if shards else ()
    if single:
        split = (gateway.Share(service=single, weight=1.0),)
        routes += (attrs.evolve(route, name="one", shards=(), split=split),)
    catalog.set_hosts(hosts)
    catalog.set_table(
        gateway.RoutingTable(
            version=1,
            routes=routes,
            services={
                name: gateway.Service(name=name, max_connections=120)
                for name in _SHARDS
            },
        )
    )
    for number, shard in enumerate(_SHARDS):
        catalog.put_server(
            gateway.Server(
                instance_id=shard,
                service=shard,
                address=f"10.1.0.1:{number + 1}",
                domain="a",
                state=gateway.ServerState.READY,
                slots=2,
            )
        )
    clock.advance(10_000)
    return [pool.address for pool in catalog.unprepared_pools()]


def _find_preferred(planner: gateway.GroupPlanner) -> dict[str, str]:
    return {
        shard: group.hosts[0].name
        for group in planner.find_groups(_SHARDS)
        for shard in group.shards
    }


if __name__ == "__main__":
    unittest.main()
