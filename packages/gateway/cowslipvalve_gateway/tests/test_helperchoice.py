"""Tests of the choice of hosts through which others reach servers."""

import unittest

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_REGIONS = {"kuopio": "savo", "varkaus": "savo", "rovaniemi": "lappi"}
_FIRST_PAUSE_MS = 1_000.0
_LONGEST_PAUSE_MS = 8_000.0
_SUSPICION_MS = 1_000.0


def _create_host(name: str, domain: str) -> gateway.HostRecord:
    return gateway.HostRecord(
        name=name, domain=domain, state_address=f"{name}.example:1"
    )


_OWN = _create_host("own", "kuopio")
_HOSTS = (
    _OWN,
    _create_host("near-1", "kuopio"),
    _create_host("near-2", "kuopio"),
    _create_host("region-1", "varkaus"),
    _create_host("far-1", "rovaniemi"),
    _create_host("far-2", "rovaniemi"),
)
_ROUTE = gateway.Route(
    name="read",
    host="search.example",
    path_prefix="/",
    is_idempotent=True,
    timeout_ms=1_000.0,
    target_ms=200.0,
    max_attempts=2,
)


class DetoursTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.catalog = gateway.create_catalog(self.clock, _REGIONS)
        self.catalog.set_hosts({host.name: host for host in _HOSTS})
        self.health = gateway.create_host_health(self.clock)
        self.detours = gateway.create_detours(
            _OWN, self.catalog, self.clock, self.health
        )

    def find_domains(self, *excluded: str) -> list[str]:
        """Returns the domains of the helpers, in order."""
        helpers = self.detours.find_helpers(_ROUTE, excluded)
        return [helper.domain for helper in helpers]

    def find_all_names(self) -> set[str]:
        """Returns the names of all hosts that may be helpers."""
        return {
            helper.name
            for _ in range(100)
            for helper in self.detours.find_helpers(_ROUTE)
        }

    def test_near_domains_come_first(self) -> None:
        for _ in range(20):
            self.assertEqual(
                self.find_domains(), ["kuopio", "varkaus", "rovaniemi"]
            )

    def test_helpers_share_the_load(self) -> None:
        firsts = {
            next(iter(self.detours.find_helpers(_ROUTE))).name
            for _ in range(100)
        }
        self.assertEqual(firsts, {"near-1", "near-2"})

    def test_domains_asked_already_come_last(self) -> None:
        self.assertEqual(
            self.find_domains("near-1"), ["varkaus", "rovaniemi", "kuopio"]
        )

    def test_own_host_is_no_helper(self) -> None:
        self.catalog.set_hosts({"own": _OWN})
        self.assertEqual(self.find_domains(), [])

    def test_body_goes_to_home_regions_only(self) -> None:
        for regions, expected in (
            (("savo",), {"kuopio", "varkaus"}),
            (("lappi",), {"rovaniemi"}),
            (("häme",), set()),
        ):
            with self.subTest(regions):
                route = attrs.evolve(_ROUTE, allowed_regions=regions)
                helpers = self.detours.find_helpers(route)
                self.assertEqual({h.domain for h in helpers}, expected)

    def test_refusing_hosts_are_left_out_for_growing_times(self) -> None:
        stranded = gateway.HostRefusalReason.STRANDED
        pause_ms = _FIRST_PAUSE_MS
        for _ in range(6):
            self.detours.record_refusal("near-1", stranded)
            self.clock.advance(pause_ms - 1.0)
            self.assertNotIn("near-1", self.find_all_names())
            self.clock.advance(2.0)
            self.assertIn("near-1", self.find_all_names())
            pause_ms = min(_LONGEST_PAUSE_MS, 2 * pause_ms)

    def test_hosts_that_refuse_take_no_place_of_other_helpers(self) -> None:
        for reason in gateway.HostRefusalReason:
            with self.subTest(reason):
                self.setUp()
                names = []
                for helper in self.detours.find_helpers(_ROUTE):
                    names.append(helper.name)
                    self.detours.record_refusal(helper.name, reason)
                self.assertEqual(
                    set(names), {host.name for host in _HOSTS} - {"own"}
                )

    def test_refusals_of_many_hosts_end_the_search(self) -> None:
        hosts = [_create_host(f"h{n}", "kuopio") for n in range(30)]
        self.catalog.set_hosts({host.name: host for host in hosts})
        asked = 0
        for helper in self.detours.find_helpers(_ROUTE):
            asked += 1
            self.detours.record_refusal(
                helper.name, gateway.HostRefusalReason.STRANDED
            )
        self.assertLessEqual(asked, 8)

    def test_busy_host_is_asked_again_soon(self) -> None:
        self.detours.record_refusal("near-1", gateway.HostRefusalReason.BUSY)
        self.assertNotIn("near-1", self.find_all_names())
        self.clock.advance(300.0)
        self.assertIn("near-1", self.find_all_names())

    def test_host_that_lacks_one_service_is_not_left_out(self) -> None:
        self.detours.record_lacking("near-1", 1)
        self.assertIn("near-1", self.find_all_names())
        self.detours.record_lacking("near-1", 10)
        self.assertNotIn("near-1", self.find_all_names())

    def test_suspect_hosts_are_left_out(self) -> None:
        self.health.record_failure("near-1")
        self.assertNotIn("near-1", self.find_all_names())
        self.clock.advance(_SUSPICION_MS + 1.0)
        self.assertIn("near-1", self.find_all_names())
