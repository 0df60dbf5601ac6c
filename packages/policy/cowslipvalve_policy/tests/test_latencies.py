"""Tests of the latency window."""

import unittest

import cowslipvalve_policy as policy
from cowslipvalve_standins import _clocks


class LatencyWindowTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()

    def test_default_while_there_are_no_samples(self) -> None:
        window = policy.create_latency_window(
            self.clock, 50.0, minimum_samples=10
        )
        self.assertEqual(window.hedge_delay_ms(), 50.0)

    def test_one_slow_server_in_twenty_does_not_raise_the_hedge_delay(
        self,
    ) -> None:
        window = policy.create_latency_window(
            self.clock, 50.0, minimum_samples=10
        )
        for number in range(1_000):
            window.add(200.0 if number % 20 == 0 else 5.0)
            window.add(200.0 if number % 20 == 1 else 5.0)
        self.assertLessEqual(window.hedge_delay_ms(), 25.0)

    def test_old_samples_expire(self) -> None:
        window = policy.create_latency_window(self.clock, 50.0)
        for latency_ms in (500.0, 5.0, 5.0):
            for _ in range(60):
                window.add(latency_ms)
            self.clock.advance(1_000)
            window.add(latency_ms)
        self.assertLess(window.hedge_delay_ms(), 10.0)
