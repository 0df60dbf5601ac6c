"""Tests of this host's shares of the slack of the budgets."""

import unittest

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _slackshares
from cowslipvalve_gateway.tests import hostmoves
from cowslipvalve_standins import _clocks

_HOLD_MS = 13_000.0
_SERVICE = "orders"
_TABLE = gateway.RoutingTable(
    version=1, routes=(hostmoves.create_route(_SERVICE),), services={}
)


def _create_hosts(count: int) -> dict[str, gateway.HostRecord]:
    return {
        name: gateway.HostRecord(name=name, domain="a", state_address=name)
        for name in (f"h{number}" for number in range(count))
    }


class SlackSharesTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.shares = _slackshares.create_slack_shares(self.clock)

    def find(self, service: str = _SERVICE) -> float:
        return self.shares.find(service, _HOLD_MS)

    def test_host_that_starts_has_no_share_for_the_time(self) -> None:
        self.clock.advance(100.0)
        self.shares.replace({_SERVICE: 0.125})
        self.assertEqual(self.find(), 0.0)
        self.clock.advance(_HOLD_MS)
        self.assertEqual(self.find(), 0.0)
        self.clock.advance(1.0)
        self.assertEqual(self.find(), 0.125)

    def test_smaller_share_counts_at_once_and_larger_one_later(self) -> None:
        self.shares.replace({_SERVICE: 0.125})
        self.clock.advance(_HOLD_MS + 1.0)
        for share in (0.1, 0.2):
            self.shares.replace({_SERVICE: share})
            self.assertEqual(self.find(), 0.1)
        self.clock.advance(_HOLD_MS + 1.0)
        self.assertEqual(self.find(), 0.2)

    def test_short_dip_among_many_changes_counts(self) -> None:
        # A dip between two calls, as of a host that came and left.
        self.shares.replace({_SERVICE: 0.2})
        self.clock.advance(_HOLD_MS + 1.0)
        for share in (0.2, 0.1, 0.2, 0.25):
            self.shares.replace({_SERVICE: share})
            self.clock.advance(10.0)
        self.assertEqual(self.find(), 0.1)
        self.clock.advance(_HOLD_MS + 1.0)
        self.assertEqual(self.find(), 0.25)

    def test_service_of_a_new_route_has_its_share_at_once(self) -> None:
        self.shares.replace({_SERVICE: 0.125})
        self.clock.advance(_HOLD_MS + 1.0)
        self.shares.replace({_SERVICE: 0.125, "new": 0.5})
        self.assertEqual(self.find("new"), 0.5)
        self.assertEqual(self.find("of no route"), 0.0)

    def test_changes_in_series_take_bounded_memory(self) -> None:
        for number in range(10_000):
            self.shares.replace({_SERVICE: 1.0 / (1 + number % 7)})
            self.clock.advance(5.0)
            self.find()
        self.assertLess(len(self.shares._past), 100)

    def test_shorter_time_meanwhile_forgets_no_share(self) -> None:
        # As of a reload that shortens the window and one that restores it.
        self.shares.replace({_SERVICE: 0.1})
        self.clock.advance(_HOLD_MS + 1.0)
        self.assertEqual(self.find(), 0.1)
        self.shares.replace({_SERVICE: 0.2})
        self.clock.advance(3_000.0)
        self.assertEqual(self.shares.find(_SERVICE, 1_000.0), 0.2)
        self.assertEqual(self.find(), 0.1)
        self.clock.advance(_HOLD_MS)
        self.assertEqual(self.find(), 0.2)

    def test_dip_ends_although_changes_go_on(self) -> None:
        self.shares.replace({_SERVICE: 0.1})
        for _ in range(2_000):
            self.clock.advance(10.0)
            self.shares.replace({_SERVICE: 0.2})
        self.assertEqual(self.find(), 0.2)


class CatalogTest(unittest.TestCase):

    def test_host_that_the_others_do_not_count_has_no_share(self) -> None:
        hosts = _create_hosts(8)
        # The hosts that are known, and the share for a long time.
        cases: tuple[tuple[dict[str, gateway.HostRecord], float], ...] = (
            ({}, 0.0),
            ({n: h for n, h in hosts.items() if n != "h0"}, 0.0),
            (hosts, 0.125),
        )
        for known, share in cases:
            with self.subTest(len(known)):
                clock = _clocks.create_manual_clock()
                catalog = gateway.create_catalog(
                    clock, {}, gateway.create_group_planner(hosts["h0"])
                )
                catalog.set_table(_TABLE)
                catalog.set_hosts(known)
                clock.advance(10 * _HOLD_MS)
                found = catalog.slack_shares.find(_SERVICE, _HOLD_MS)
                self.assertEqual(found, share)
