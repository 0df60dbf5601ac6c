"""Tests of the extra attempts of all hosts while hosts or callers move."""

import random
import unittest
from collections.abc import Callable
from unittest import mock

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway.tests import hostmoves
from cowslipvalve_standins import _arrivals
from cowslipvalve_standins import _clocks
from cowslipvalve_standins import _hostprocesses

_SERVICE = "orders"
_BOUNDS = gateway.BudgetBounds(
    ratio=_hostprocesses.BUDGET_RATIO,
    slack=_hostprocesses.BUDGET_SLACK,
    window_ms=_hostprocesses.BUDGET_WINDOW_S * 1_000.0,
)
_TABLE = gateway.RoutingTable(
    version=1, routes=(hostmoves.create_route(_SERVICE),), services={}
)
_STEP_MS = 50.0
_LOAD_MS = 60_000.0
_REQUESTS_PER_STEP = 2  # 40 a second.
_EXTRA_PER_REQUEST = 2
_TRANSIT_MS = 400.0  # The longest way of an attempt to its server.
_EVENT_STEPS = 30  # Hosts come or go every 1.5 s.
_FAILING_SHARE = 0.5  # Of the time in which callers move.


@attrs.define(kw_only=True, eq=False)
class _Host(hostmoves.Host):
    """A host with what its calls share."""

    context: gateway.CallContext


class _Deployment(hostmoves.Deployment[_Host]):
    """Hosts whose servers fail every attempt."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._requests_ms: list[float] = []
        self._arrivals_ms: list[float] = []

    def run(self, change: Callable[["_Deployment"], None]) -> list[float]:
        """Runs under load; returns the times of the extra arrivals."""
        self.start()
        self.advance(hostmoves.LEAD_MS)
        for step in range(int(_LOAD_MS / _STEP_MS)):
            self.advance(_STEP_MS)
            if step % _EVENT_STEPS == 0:
                change(self)
            for _ in range(_REQUESTS_PER_STEP):
                self._request()
        return sorted(self._arrivals_ms)

    def find_worst(self) -> _arrivals.WindowUse:
        """Returns the worst window so far."""
        return _arrivals.find_worst_window(
            sorted(self._arrivals_ms), self._requests_ms
        )

    def choose_to_stop(self, registered: list[_Host]) -> _Host:
        return self.rng.choice(registered)

    def start_one(self) -> gateway.CallContext:
        """Starts a host beside those that run; returns its context."""
        self.add()
        return self.hosts[-1].context

    def advance(self, duration_ms: float) -> None:
        """Lets time pass without load."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(_STEP_MS)
            for host in self.list_serving():
                if self.is_started(host):
                    host.catalog.set_hosts(self.read_records(host))

    def create_host(self, host: hostmoves.Host) -> _Host:
        host.catalog.set_table(_TABLE)
        context = gateway.CallContext(
            catalog=host.catalog,
            limiter=mock.Mock(),
            limit_reader=mock.Mock(),
            selector=mock.Mock(),
            client=mock.Mock(),
            bounds=_BOUNDS,
            measurements=gateway.create_measurements(),
            clock=self.clock,
            own_name=host.record.name,
            groups=mock.Mock(),
            host_health=mock.Mock(),
            shard_waits=mock.Mock(),
            crashes=mock.Mock(),
            links=mock.Mock(),
            detours=mock.Mock(),
            relays=mock.Mock(),
        )
        return _Host(
            **attrs.asdict(host, recurse=False),
            context=context,
        )

    def _request(self) -> None:
        now_ms = self.clock.now_ms()
        host = self.rng.choice(self.list_serving())
        self._requests_ms.append(now_ms)
        if not self.is_started(host):
            return
        budget = host.context.budget(_SERVICE)
        budget.add_request()
        for _ in range(_EXTRA_PER_REQUEST):
            extra = host.context.try_take_extra(_SERVICE, False)
            if extra is not None:
                budget.record_sent(extra)
                transit_ms = self.rng.uniform(0.0, _TRANSIT_MS)
                self._arrivals_ms.append(now_ms + transit_ms)


class BudgetSumTest(unittest.TestCase):

    def test_hosts_that_come_and_go_keep_the_bound_together(self) -> None:
        # What happens to hosts every 1.5 s.
        cases = (
            _Deployment.keep,
            _Deployment.kill,
            _Deployment.stop,
            _Deployment.replace,
            _Deployment.vary,
        )
        for change in cases:
            for seed in range(1, 5):
                with self.subTest(change.__name__, seed=seed):
                    deployment = _Deployment(seed)
                    deployment.run(change)
                    worst = deployment.find_worst()
                    self.assertLessEqual(worst.extra, worst.allowed)

    def test_hosts_that_stay_use_most_of_the_bound(self) -> None:
        deployment = _Deployment(1)
        deployment.run(_Deployment.keep)
        worst = deployment.find_worst()
        self.assertGreater(worst.extra, 0.8 * worst.allowed)


class BudgetReportTest(unittest.TestCase):

    def test_logs_and_counts_tell_why_an_attempt_is_refused(self) -> None:
        deployment = _Deployment(1)
        context = deployment.start_one()
        # The time since the start in ms, the attempts that are allowed, what
        # the log says, and the reason that is counted for the next one.
        cases = (
            (
                5_000.0,
                0,
                {
                    "budget": "0.0",
                    "slack_share": "0.0000",
                    "has_slack": False,
                },
                "no_share",
            ),
            (
                hostmoves.LEAD_MS + hostmoves.NEWS_MS,
                44,
                {"budget": "0.8", "slack_share": "1.0000", "has_slack": True},
                "used_up",
            ),
        )
        for time_ms, allowed, fields, reason in cases:
            with self.subTest(reason):
                deployment.advance(time_ms)
                for _ in range(allowed):
                    extra = context.try_take_extra(_SERVICE, False)
                    self.assertIsNotNone(extra)
                self.assertIsNone(context.try_take_extra(_SERVICE, False))
                self.assertEqual(context.describe_budget(_SERVICE), fields)
                counts = context.measurements.read_counts()
                self.assertEqual(counts["refused_extra_attempts", reason], 1)


class _Traffic:
    """Callers that change hosts or load, and servers that fail at times."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = _clocks.create_manual_clock()
        self._budgets = [
            gateway.create_attempt_budget(self._clock, _BOUNDS)
            for _ in range(hostmoves.HOST_COUNT)
        ]
        self._asked = self._budgets
        self._load = 1.0
        self._is_failing = False
        self._requests_ms: list[float] = []
        self._extra_ms: list[float] = []

    def run(self, change: Callable[["_Traffic"], None]) -> _arrivals.WindowUse:
        """Runs for a time; returns the worst window."""
        end_ms = self._clock.now_ms() + _LOAD_MS
        change_ms = fail_ms = 0.0
        while self._clock.now_ms() < end_ms:
            self._clock.advance(_STEP_MS)
            if self._clock.now_ms() >= change_ms:
                change_ms = self._clock.now_ms() + self._draw_period()
                change(self)
            if self._clock.now_ms() >= fail_ms:
                fail_ms = self._clock.now_ms() + self._draw_period()
                self._is_failing = self._rng.random() < _FAILING_SHARE
            for _ in range(round(_REQUESTS_PER_STEP * self._load)):
                self._request()
        return _arrivals.find_worst_window(self._extra_ms, self._requests_ms)

    def move(self) -> None:
        """Moves all callers to some hosts."""
        count = self._rng.randint(1, hostmoves.HOST_COUNT)
        self._asked = self._rng.sample(self._budgets, count)

    def press(self) -> None:
        """Changes the load."""
        self._load = self._rng.choice((0.0, 0.5, 1.0, 2.0, 3.0))

    def move_and_press(self) -> None:
        """Moves the callers and changes the load."""
        self.move()
        self.press()

    def _draw_period(self) -> float:
        return self._rng.uniform(500.0, 12_000.0)

    def _request(self) -> None:
        now_ms = self._clock.now_ms()
        self._requests_ms.append(now_ms)
        budget = self._rng.choice(self._asked)
        budget.add_request()
        for _ in range(_EXTRA_PER_REQUEST if self._is_failing else 0):
            if budget.find_denial(1.0 / hostmoves.HOST_COUNT) is None:
                budget.record_sent(budget.take())
                self._extra_ms.append(now_ms)


class TrafficTest(unittest.TestCase):

    def test_callers_that_move_or_press_earn_no_attempts_twice(self) -> None:
        changes = (_Traffic.move, _Traffic.press, _Traffic.move_and_press)
        for change in changes:
            for seed in range(1, 26):
                with self.subTest(change.__name__, seed=seed):
                    worst = _Traffic(seed).run(change)
                    self.assertLessEqual(worst.extra, worst.allowed)

    def test_shorter_window_meanwhile_forgets_no_sent_attempt(self) -> None:
        clock = _clocks.create_manual_clock()
        budget = gateway.create_attempt_budget(clock, _BOUNDS)
        while budget.find_denial(1.0) is None:
            budget.record_sent(budget.take())
        budget.bounds = attrs.evolve(_BOUNDS, window_ms=2_000.0)
        clock.advance(3_000.0)
        self.assertIsNone(budget.find_denial(1.0))
        self.assertFalse(budget.is_idle)
        budget.bounds = _BOUNDS
        self.assertEqual(budget.find_denial(1.0), gateway.Denial.USED_UP)
        clock.advance(_BOUNDS.held_ms)
        self.assertIsNone(budget.find_denial(1.0))
        self.assertTrue(budget.is_idle)

    def test_few_requests_at_a_host_earn_whole_attempts(self) -> None:
        # As many as a window allows, though its parts allow none by themselves.
        clock = _clocks.create_manual_clock()
        budget = gateway.create_attempt_budget(clock, _BOUNDS)
        sent = 0
        for _ in range(10):
            clock.advance(1_000.0)
            budget.add_request()
            if budget.find_denial(0.0) is None:
                budget.record_sent(budget.take())
                sent += 1
        self.assertEqual(sent, 2)
