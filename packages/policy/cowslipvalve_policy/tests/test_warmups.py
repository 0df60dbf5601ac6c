"""Tests of the warm-up pacing."""

import unittest

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_standins import _clocks

_WARM_UP = model.WarmUp(initial_rate=10, doubling_ms=500, full_rate=160)


class WarmUpGateTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.gate = policy.create_warm_up_gate(self.clock, _WARM_UP)

    def run_for(self, duration_ms: float, latency_ms: float = 5.0) -> int:
        """Runs the queries that the gate allows; returns their number."""
        count = 0
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            if self.gate.delay_ms() > 0:
                self.clock.advance(min(self.gate.delay_ms(), duration_ms))
                continue
            self.gate.record_start(1)
            self.clock.advance(latency_ms)
            self.gate.add_answer(latency_ms)
            count += 1
        return count

    def test_cold_server_gets_its_initial_rate(self) -> None:
        self.assertLessEqual(self.run_for(450), 6)
        self.assertEqual(self.gate.max_concurrency(4), 1)

    def test_queries_warm_a_server_up(self) -> None:
        self.run_for(2_200)
        self.assertTrue(self.gate.is_warm)
        self.assertEqual(self.gate.max_concurrency(4), 4)
        self.assertEqual(self.gate.delay_ms(), 0)

    def test_idle_server_stays_cold(self) -> None:
        self.clock.advance(60_000)
        self.assertLessEqual(self.run_for(450), 6)

    def test_reset_makes_a_server_cold(self) -> None:
        self.run_for(2_200)
        self.gate.reset()
        self.assertFalse(self.gate.is_warm)
        self.assertGreater(self.gate.delay_ms(), 0)

    def test_slow_answers_in_a_row_make_a_server_cold(self) -> None:
        self.run_for(3_000)
        for is_reset in (False, False, True):
            self.clock.advance(50)
            self.assertEqual(self.gate.add_answer(50), is_reset)
        self.assertFalse(self.gate.is_warm)

    def test_answers_of_one_pause_leave_a_server_warm(self) -> None:
        # The queries ran at the same time; the server was paused once.
        self.run_for(3_000)
        for _ in range(2):
            self.clock.advance(50)
            for _ in range(10):
                self.assertFalse(self.gate.add_answer(50))
        self.assertTrue(self.gate.is_warm)

    def test_single_slow_answers_leave_a_server_warm(self) -> None:
        self.run_for(3_000)
        for _ in range(10):
            self.gate.add_answer(50)
            self.gate.add_answer(5)
        self.assertTrue(self.gate.is_warm)
