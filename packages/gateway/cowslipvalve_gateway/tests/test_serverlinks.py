"""Tests of what counts as lost links, on a manual clock."""

import itertools
import unittest
from collections.abc import Callable, Iterable

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway.tests import linknetworks

_DOMAINS = linknetworks.DOMAINS
_SERVICES = linknetworks.SERVICES
_TICK_MS = _serverlinks.CHECK_PERIOD_MS
_DETECTION_MS = 1_000.0
_REFUSED_DETECTION_MS = 150.0
_HEALING_MS = 1_000.0
_MAX_COMPARED = 13  # Two rounds of comparisons and the server in use.


class LossTest(unittest.TestCase):
    """When a host counts as stranded."""

    def test_cut_from_all_servers_is_noticed_in_time(self) -> None:
        # Each case: the failure domains, whether connects are refused, whether
        # there are few requests, and the longest time until it is noticed.
        cases = (
            (_DOMAINS, False, False, _DETECTION_MS),
            (_DOMAINS[:1], False, False, _DETECTION_MS),
            ("abcdefgh", False, False, _DETECTION_MS),
            (_DOMAINS, True, False, _REFUSED_DETECTION_MS),
            (_DOMAINS, True, True, _REFUSED_DETECTION_MS),
            (_DOMAINS, False, True, _DETECTION_MS),
        )
        for domains, is_refused, is_idle, longest_ms in cases:
            with self.subTest(
                domains=domains, is_refused=is_refused, is_idle=is_idle
            ):
                network = linknetworks.create_network(domains)
                failed = network.refusing if is_refused else network.hanging
                failed.update(network.views)
                took_ms = network.play(
                    5_000.0,
                    is_idle=is_idle,
                    is_done=network.is_stranded,
                )
                self.assertLessEqual(took_ms, longest_ms)
                for service in range(_SERVICES):
                    self.assertTrue(network.is_cut_off(service))
                self.assertEqual(network.links.lost_count, 1)

    def test_fewer_servers_than_the_usual_minimum(self) -> None:
        network = linknetworks.LinkNetwork(_DOMAINS[:2], 1)
        network.play(1_000.0, is_idle=True)
        network.hanging.update(network.views)
        network.play(2_000.0, is_idle=True)
        self.assertTrue(network.links.is_stranded)

    def test_failures_of_servers_are_no_loss_of_links(self) -> None:
        # Each case: what fails, and which servers.
        cases: tuple[
            tuple[
                str,
                Callable[[linknetworks.LinkNetwork], set[_servers.ServerView]],
            ],
            ...,
        ] = (
            ("hanging", lambda n: n.views_in("kuopio")),
            ("refusing", lambda n: n.views_in("kuopio")),
            ("hanging", lambda n: n.views_in("kuopio", "vaasa")),
            ("refusing", lambda n: n.views_in("kuopio", "vaasa")),
            ("refusing", lambda n: set(n.views_of(0))),
            ("hanging", lambda n: set(n.views_of(0))),
            ("refusing", lambda n: set(n.views[::2])),
            ("hanging", lambda n: set(n.views[1::2])),
            ("paused", lambda n: set(n.views)),
        )
        for kind, choose in cases:
            for is_idle in (False, True):
                with self.subTest(kind=kind, is_idle=is_idle):
                    network = linknetworks.create_network()
                    getattr(network, kind).update(choose(network))
                    network.play(8_000.0, is_idle=is_idle)
                    self.assertEqual(network.links.lost_count, 0)
                    self.assertFalse(network.links.is_doubtful)

    def test_restart_of_all_servers_of_a_service(self) -> None:
        network = linknetworks.create_network()
        for _ in range(3):
            network.refusing.update(network.views_of(0))
            network.play(2_000.0)
            network.refusing.clear()
            took_ms = network.play(
                3_000.0, is_done=lambda: not network.is_cut_off(0)
            )
            self.assertLessEqual(took_ms, _HEALING_MS)
        self.assertEqual(network.links.lost_count, 0)

    def test_usual_pause_ends_no_request(self) -> None:
        network = linknetworks.create_network()
        network.paused.update(network.views)
        network.play(300.0)
        network.paused.clear()
        network.play(1_000.0)
        self.assertEqual(network.cut, [])
        self.assertEqual(network.links.count_unreached(), 0)

    def test_process_that_was_held_up_takes_no_connect_for_slow(self) -> None:
        network = linknetworks.create_network()
        for view in network.views:
            view.link.start_wait(None, is_connect=True)
        network.clock.advance(2_000.0)
        network.links.check()
        self.assertEqual(network.links.count_unreached(), 0)

    def test_server_that_is_to_end_is_no_evidence(self) -> None:
        network = linknetworks.create_network(services=1)
        for state in (
            gateway.ServerState.DRAINING,
            gateway.ServerState.READY,
        ):
            for view in network.views:
                link = view.link
                link.server = gateway.Server(
                    instance_id=link.server.instance_id,
                    service=link.server.service,
                    address=link.server.address,
                    domain=link.server.domain,
                    state=state,
                    slots=2,
                )
                network.clock.advance(1.0)
                link.record_failure(is_silent=False)
            network.clock.advance(_TICK_MS)
            network.links.check()
            is_ready = state is gateway.ServerState.READY
            self.assertEqual(network.links.is_stranded, is_ready)
            if not is_ready:
                for view in network.views:
                    view.link.record_reach(
                        network.clock.now_ms(), is_connect=True
                    )


class PartialCutTest(unittest.TestCase):
    """What counts as cut off while other servers are reached."""

    def test_only_services_without_reached_server_are_cut_off(self) -> None:
        network = linknetworks.create_network()
        network.hanging.update(network.views_of(0))
        network.hanging.update(network.views_of(1)[:1])
        network.play(2_500.0)
        self.assertTrue(network.is_cut_off(0))
        self.assertFalse(network.is_cut_off(1))
        self.assertFalse(network.is_cut_off(2))
        self.assertIn("shard-0", network.cut)
        self.assertNotIn("shard-2", network.cut)

    def test_open_connections_that_outlive_a_cut_are_used(self) -> None:
        network = linknetworks.create_network()
        network.closed.update(network.views_of(0))
        for view in network.closed:
            view.link.record_failure(is_silent=False)
            view.link.record_reach(network.clock.now_ms(), is_connect=False)
        network.play(5_000.0)
        self.assertFalse(network.links.is_stranded)
        for must_connect in (False, True):
            self.assertEqual(
                network.links.is_cut_off(
                    "shard-0", network.views_of(0), must_connect
                ),
                must_connect,
            )
        network.closed.clear()
        network.play(2 * _HEALING_MS)
        self.assertTrue(all(v.link.takes_connections for v in network.views))

    def test_service_without_usable_server_is_not_cut_off(self) -> None:
        network = linknetworks.create_network()
        network.hanging.update(network.views)
        network.play(2_000.0)
        self.assertFalse(network.links.is_cut_off("shard-0", []))

    def test_failed_detours_are_rarer_and_rarer(self) -> None:
        network = linknetworks.create_network()
        network.refusing.update(network.views_of(0))
        detours = 0
        for _ in range(200):
            network.play(100.0)
            if network.is_cut_off(0):
                detours += 1
                network.links.record_detour("shard-0", is_reached=False)
        self.assertGreaterEqual(detours, 3)
        self.assertLessEqual(detours, 8)
        network.links.record_detour("shard-0", is_reached=True)
        self.assertTrue(network.is_cut_off(0))


class RecoveryTest(unittest.TestCase):
    """When links count as back."""

    def test_all_links_are_back_soon(self) -> None:
        for is_refused in (False, True):
            with self.subTest(is_refused=is_refused):
                network = linknetworks.create_network()
                failed = network.refusing if is_refused else network.hanging
                failed.update(network.views)
                network.play(12_000.0)
                self.assertTrue(network.links.is_stranded)
                failed.clear()
                network.play(_HEALING_MS)
                self.assertFalse(network.links.is_stranded)
                self.assertEqual(network.links.count_unreached(), 0)
                self.assertFalse(any(v.is_ejected for v in network.views))

    def test_one_domain_that_is_back_is_used(self) -> None:
        network = linknetworks.create_network()
        network.hanging.update(network.views)
        network.play(5_000.0)
        network.hanging -= network.views_in("vaasa")
        network.play(2 * _HEALING_MS)
        self.assertFalse(network.links.is_stranded)
        for service in range(_SERVICES):
            domains = {v.server.domain for v in network.views_of(service)}
            self.assertEqual(
                network.is_cut_off(service), "vaasa" not in domains
            )

    def test_dead_server_of_two_does_not_keep_a_host_stranded(self) -> None:
        # Each case: whether the server's address refuses connections, rather
        # than being silent, and whether the server dies before the cut.
        for is_refused, is_early in itertools.product((False, True), repeat=2):
            with self.subTest(is_refused=is_refused, is_early=is_early):
                network = linknetworks.LinkNetwork(_DOMAINS[:2], 1)
                network.play(1_000.0, is_idle=True)
                dead, alive = network.views
                dying = network.refusing if is_refused else network.hanging
                if is_early:
                    dying.add(dead)
                    network.play(2_000.0, is_idle=True)
                    self.assertFalse(network.links.is_stranded)
                network.hanging.update((dead, alive))
                network.play(2_000.0, is_idle=True)
                self.assertTrue(network.links.is_stranded)
                network.hanging.clear()
                dying.add(dead)
                network.play(2 * _HEALING_MS, is_idle=True)
                self.assertFalse(alive.link.is_unreached)
                self.assertFalse(network.links.is_stranded)

    def test_one_server_of_many_does_not_mean_that_links_are_back(self) -> None:
        network = linknetworks.create_network()
        network.hanging.update(network.views)
        network.play(2_000.0)
        network.hanging.discard(network.views[0])
        network.play(5_000.0)
        self.assertFalse(network.views[0].link.is_unreached)
        self.assertTrue(network.links.is_stranded)

    def test_failures_while_stranded_are_not_held_against_servers(
        self,
    ) -> None:
        network = linknetworks.create_network()
        view = network.views[0]
        for _ in range(10):
            view.record_failure()
        self.assertTrue(view.is_ejected)
        network.hanging.update(network.views)
        network.play(2_000.0)
        network.hanging.clear()
        network.play(_HEALING_MS)
        self.assertFalse(view.is_ejected)

    def test_links_that_come_and_go_are_trusted_later_and_later(self) -> None:
        network = linknetworks.create_network()
        holds = []
        for _ in range(8):
            network.hanging.update(network.views)
            network.play(2_000.0, is_done=network.is_stranded)
            network.links.record_detour("shard-0", is_reached=True)
            network.hanging.clear()
            holds.append(
                network.play(
                    10_000.0, is_done=lambda: not network.links.is_stranded
                )
            )
        self.assertLessEqual(holds[0], 500.0)
        self.assertGreaterEqual(holds[1], 450.0)
        self.assertGreaterEqual(holds[2], 900.0)
        self.assertLessEqual(max(holds), 4_500.0)
        network.play(20_000.0)
        network.hanging.update(network.views)
        network.play(2_000.0)
        network.hanging.clear()
        network.play(_HEALING_MS)
        self.assertFalse(network.links.is_stranded)


class ProbeTest(unittest.TestCase):
    """How many connections the probes cost."""

    def test_probes_are_bounded(self) -> None:
        # Each case: which servers hang, and the most probes in ten seconds.
        cases: tuple[
            tuple[
                Callable[
                    [linknetworks.LinkNetwork], Iterable[_servers.ServerView]
                ],
                int,
            ],
            ...,
        ] = (
            (lambda n: (), 0),
            (lambda n: n.views_of(0), 40),
            (lambda n: n.views, 180),
        )
        for choose, most in cases:
            network = linknetworks.create_network()
            network.probes.clear()
            network.hanging.update(choose(network))
            network.play(10_000.0)
            with self.subTest(most=most):
                self.assertLessEqual(len(network.probes), most)
                last_ms: dict[_servers.ServerView, float] = {}
                for at_ms, view in network.probes:
                    if view in last_ms:
                        self.assertGreaterEqual(at_ms - last_ms[view], 1_000.0)
                    last_ms[view] = at_ms

    def test_servers_that_are_never_asked_are_probed_only_to_compare(
        self,
    ) -> None:
        network = linknetworks.LinkNetwork(_DOMAINS, _SERVICES)
        network.play(2_000.0, is_idle=True)
        network.hanging.update(network.views)
        network.play(5_000.0, is_idle=True)
        self.assertTrue(network.links.is_stranded)
        network.hanging.clear()
        network.play(_HEALING_MS, is_idle=True)
        self.assertFalse(network.links.is_stranded)
        probed = {view for _, view in network.probes}
        self.assertLessEqual(len(probed), _MAX_COMPARED)

    def test_slow_request_costs_one_probe(self) -> None:
        network = linknetworks.create_network()
        network.views[0].link.start_wait(None)
        network.probes.clear()
        network.play(5_000.0)
        self.assertLessEqual(len(network.probes), 1)


if __name__ == "__main__":
    unittest.main()
