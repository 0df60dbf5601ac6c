"""Tests of the requests of all hosts to a cold server while hosts move."""

import bisect
import itertools
import random
import unittest
from collections.abc import Callable

import attrs

import cowslipvalve_gateway as gateway
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
_HOST_COUNT = 8
_RATES = (4.0, 8.0, 40.0)  # Requests per second of all hosts together.
_OVERSHOOT = 1.5
_SLACK = 5.0
_WINDOW_MS = 1_000.0
_STEP_MS = 20.0
_LEAD_MS = 14_000.0  # From the start of the hosts to the first change.
_RUN_MS = 30_000.0
_EVENT_STEPS = 75  # Hosts come or go every 1.5 s.
_START_MS = 300.0  # A host knows the state that long after its start.
_NEWS_MS = 2_900.0  # A change reaches each host within this time.
_GRACE_MS = 4_000.0  # A host serves that long after it has left the others.


def _create_table(rate: float) -> gateway.RoutingTable:
    return gateway.RoutingTable(
        version=1,
        routes=(
            gateway.Route(
                name="read",
                host="search.example",
                path_prefix="/read/",
                split=(gateway.Share(service=_SERVICE, weight=1),),
                is_idempotent=True,
                max_attempts=3,
                timeout_ms=1_500.0,
                target_ms=200.0,
            ),
        ),
        services={
            _SERVICE: gateway.Service(
                name=_SERVICE, max_connections=100, cold_rate=rate
            )
        },
    )


@attrs.define(kw_only=True, eq=False)
class _Host:
    """A process of a host; its next process is another one."""

    record: gateway.HostRecord
    catalog: gateway.Catalog
    started_ms: float
    # How late the host learns of changes.
    news_ms: float
    end_ms: float = float("inf")


class _Deployment:
    """Hosts that send what they may to one cold server, on a manual clock."""

    def __init__(
        self, seed: int, rate: float, host_count: int = _HOST_COUNT
    ) -> None:
        self._rng = random.Random(seed)
        # The phases of the hosts.
        random.seed(seed)
        self._table = _create_table(rate)
        self._host_count = host_count
        self._clock = _clocks.create_manual_clock()
        self._numbers = itertools.count()
        # The registered hosts after each change.
        self._versions: list[tuple[float, dict[str, gateway.HostRecord]]] = [
            (self._clock.now_ms(), {})
        ]
        self._hosts: list[_Host] = []
        self.sent_ms: list[float] = []

    def start(self) -> None:
        """Starts all hosts together."""
        for _ in range(self._host_count):
            self._add()

    def run(self, change: Callable[["_Deployment"], None]) -> None:
        """Changes the hosts in series after a time without changes."""
        self.start()
        self.advance(_LEAD_MS)
        # What hosts send that start together is examined by itself.
        self.sent_ms.clear()
        for _ in range(int(_RUN_MS / (_EVENT_STEPS * _STEP_MS))):
            change(self)
            self.advance(_EVENT_STEPS * _STEP_MS)

    def advance(self, duration_ms: float) -> None:
        """Lets time pass."""
        for _ in range(int(duration_ms / _STEP_MS)):
            self._clock.advance(_STEP_MS)
            for host in self._list_serving():
                self._inform(host)
                self._send(host)

    def find_most(self) -> int:
        """Returns the most requests in one second."""
        return max(
            bisect.bisect_left(self.sent_ms, time_ms + _WINDOW_MS) - index
            for index, time_ms in enumerate(self.sent_ms)
        )

    def keep(self) -> None:
        """Leaves the hosts as they are."""

    def kill(self) -> None:
        """Kills a host and starts it at once under its name."""
        host = self._rng.choice(self._list_serving())
        host.end_ms = self._clock.now_ms()
        self._start(host.record)

    def stop(self) -> None:
        """Stops a host in order, or starts all that were stopped."""
        if len(self._versions[-1][1]) > self._host_count // 2:
            self.leave(1)
        else:
            for _ in range(self._host_count - len(self._versions[-1][1])):
                self._add()

    def replace(self) -> None:
        """Starts a host of a new name and stops another one in order."""
        self._add()
        self.leave(1)

    def vary(self) -> None:
        """Does any of these."""
        self._rng.choice((self.kill, self.stop, self.replace))()

    def leave(self, count: int) -> None:
        """Stops some hosts in order at once."""
        records = dict(self._versions[-1][1])
        for host in self._list_serving():
            if host.record.name in records and count:
                del records[host.record.name]
                host.end_ms = self._clock.now_ms() + _GRACE_MS
                count -= 1
        self._versions.append((self._clock.now_ms(), records))

    def _list_serving(self) -> list[_Host]:
        now_ms = self._clock.now_ms()
        return [h for h in self._hosts if h.end_ms > now_ms]

    def _add(self) -> None:
        name = f"h{next(self._numbers)}"
        record = gateway.HostRecord(name=name, domain="a", state_address=name)
        records = {**self._versions[-1][1], name: record}
        self._versions.append((self._clock.now_ms(), records))
        self._start(record)

    def _start(self, record: gateway.HostRecord) -> None:
        catalog = gateway.create_catalog(
            self._clock, {}, gateway.create_group_planner(record)
        )
        self._hosts.append(
            _Host(
                record=record,
                catalog=catalog,
                started_ms=self._clock.now_ms(),
                news_ms=self._rng.uniform(0.0, _NEWS_MS),
            )
        )

    def _inform(self, host: _Host) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < host.started_ms + _START_MS:
            return
        if host.catalog.table is None:
            host.catalog.set_table(self._table)
            host.catalog.put_server(_SERVER)
        known = [r for t, r in self._versions if t <= now_ms - host.news_ms]
        records = known[-1] if known else {}
        if now_ms < host.started_ms + host.news_ms:
            # The host has written its own record.
            records = {**records, host.record.name: host.record}
        host.catalog.set_hosts(records)

    def _send(self, host: _Host) -> None:
        view = host.catalog.find_server(_SERVER.instance_id)
        if view and view.may_send(host.catalog.cold_rate(_SERVICE)):
            view.record_send()
            self.sent_ms.append(self._clock.now_ms())


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
                    deployment.advance(_START_MS + _HOST_COUNT / rate * 1_000.0)
                    self.assertGreaterEqual(
                        len(deployment.sent_ms), _HOST_COUNT // 2
                    )
                    deployment.advance(_LEAD_MS)
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
                deployment.advance(_LEAD_MS)
                # What they sent while they started is not examined here.
                deployment.sent_ms.clear()
                deployment.leave(60)
                deployment.advance(_LEAD_MS)
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
