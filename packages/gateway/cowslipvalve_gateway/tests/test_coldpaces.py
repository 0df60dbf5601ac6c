"""Tests of the requests of all hosts to a cold server while hosts move."""

import bisect
import itertools
import random
import unittest
from collections.abc import Callable

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway.tests import hostmoves
from cowslipvalve_standins import _clocks

_SERVICE = "orders"
_SERVER = gateway.Server(
    instance_id="i-0",
    service=_SERVICE,
    address="127.0.0.1:1",
    domain="a",
    state=gateway.ServerState.READY,
    slots=2,
    cold_ms=120_000.0,
)
_RATES = (4.0, 8.0, 40.0)  # Requests per second of all hosts together.
_OVERSHOOT = 1.5
_SLACK = 5.0
_WINDOW_MS = 1_000.0
_STEP_MS = 20.0
_RUN_MS = 30_000.0
_EVENT_STEPS = 75  # Hosts come or go every 1.5 s.


def _create_table(rate: float) -> gateway.RoutingTable:
    service = gateway.Service(
        name=_SERVICE, max_connections=100, cold_rate=rate
    )
    return gateway.RoutingTable(
        version=1,
        routes=(hostmoves.create_route(_SERVICE),),
        services={_SERVICE: service},
    )


class _Deployment(hostmoves.Deployment[hostmoves.Host]):
    """Hosts that send what they may to one cold server."""

    def __init__(
        self, seed: int, rate: float, host_count: int = hostmoves.HOST_COUNT
    ) -> None:
        super().__init__(seed, host_count)
        # The phases of the hosts.
        random.seed(seed)
        self._table = _create_table(rate)
        self.sent_ms: list[float] = []

    def run(self, change: Callable[["_Deployment"], None]) -> None:
        """Changes the hosts in series after a time without changes."""
        self.start()
        self.advance(hostmoves.LEAD_MS)
        # What hosts send that start together is examined by itself.
        self.sent_ms.clear()
        for _ in range(int(_RUN_MS / (_EVENT_STEPS * _STEP_MS))):
            change(self)
            self.advance(_EVENT_STEPS * _STEP_MS)

    def advance(self, duration_ms: float) -> None:
        """Lets time pass."""
        for _ in range(int(duration_ms / _STEP_MS)):
            self.clock.advance(_STEP_MS)
            for host in self.list_serving():
                self._inform(host)
                self._send(host)

    def find_most(self) -> int:
        """Returns the most requests in one second."""
        return max(
            bisect.bisect_left(self.sent_ms, time_ms + _WINDOW_MS) - index
            for index, time_ms in enumerate(self.sent_ms)
        )

    def create_host(self, host: hostmoves.Host) -> hostmoves.Host:
        return host

    def _inform(self, host: hostmoves.Host) -> None:
        if not self.is_started(host):
            return
        if host.catalog.table is None:
            host.catalog.set_table(self._table)
            host.catalog.put_server(_SERVER)
        records = self.read_records(host)
        if self.clock.now_ms() < host.started_ms + host.news_ms:
            # The host has written its own record.
            records = {**records, host.record.name: host.record}
        host.catalog.set_hosts(records)

    def _send(self, host: hostmoves.Host) -> None:
        view = host.catalog.find_server(_SERVER.instance_id)
        if view and view.may_send(host.catalog.cold_rate(_SERVICE)):
            view.record_send()
            self.sent_ms.append(self.clock.now_ms())


class ColdPaceSumTest(unittest.TestCase):

    def check(self, deployment: _Deployment, rate: float) -> None:
        """Checks that no second has more requests than the users allow."""
        most = deployment.find_most()
        self.assertLessEqual(most, rate * _OVERSHOOT + _SLACK)

    def test_hosts_that_come_and_go_keep_the_pace_together(self) -> None:
        # What happens to hosts every 1.5 s.
        cases = (
            _Deployment.keep,
            _Deployment.kill,
            _Deployment.stop,
            _Deployment.replace,
            _Deployment.vary,
        )
        for change, rate in itertools.product(cases, _RATES):
            for seed in range(1, 5):
                with self.subTest(change.__name__, rate=rate, seed=seed):
                    deployment = _Deployment(seed, rate)
                    deployment.run(change)
                    self.check(deployment, rate)

    def test_hosts_that_start_together_keep_the_pace_and_send(self) -> None:
        # As after a power loss.
        for rate in _RATES:
            for seed in range(1, 9):
                with self.subTest(rate=rate, seed=seed):
                    deployment = _Deployment(seed, rate)
                    deployment.start()
                    deployment.advance(
                        hostmoves.START_MS
                        + hostmoves.HOST_COUNT / rate * 1_000.0
                    )
                    self.assertGreaterEqual(
                        len(deployment.sent_ms), hostmoves.HOST_COUNT // 2
                    )
                    deployment.advance(hostmoves.LEAD_MS)
                    self.check(deployment, rate)

    def test_hosts_that_stay_use_the_pace(self) -> None:
        for rate in _RATES:
            deployment = _Deployment(1, rate)
            deployment.run(_Deployment.keep)
            allowed = rate * _RUN_MS / 1_000.0
            self.assertGreater(len(deployment.sent_ms), 0.95 * allowed)

    def test_hosts_that_lose_half_of_them_send_no_burst(self) -> None:
        rate = 40.0
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                deployment = _Deployment(seed, rate, host_count=120)
                deployment.start()
                deployment.advance(hostmoves.LEAD_MS)
                # What they sent while they started is not examined here.
                deployment.sent_ms.clear()
                deployment.leave(60)
                deployment.advance(hostmoves.LEAD_MS)
                self.check(deployment, rate)


class ColdRateTest(unittest.TestCase):

    def test_host_without_a_share_sends_nothing(self) -> None:
        # A rate of 0 once meant that there was no bound.
        clock = _clocks.create_manual_clock()
        catalog = gateway.create_catalog(clock, {})
        catalog.put_server(_SERVER)
        view = catalog.find_server(_SERVER.instance_id)
        assert view is not None
        self.assertTrue(view.may_send(catalog.cold_rate(_SERVICE)))
        for _ in range(100):
            self.assertFalse(view.may_send(0.0))
            clock.advance(100.0)
