"""Tests of what requests earn at one host since its extra attempts."""

import unittest

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_BOUNDS = gateway.BudgetBounds(ratio=0.2, slack=56.0, window_ms=10_000.0)
_SHARE = 0.125  # Of the slack, as one of eight hosts.


class BudgetEarningTest(unittest.TestCase):

    def test_attempts_to_be_sent_count_before_they_are_sent(self) -> None:
        for is_sent in (False, True):
            with self.subTest(is_sent=is_sent):
                clock = _clocks.create_manual_clock()
                budget = gateway.create_attempt_budget(clock, _BOUNDS)
                _add_requests(clock, budget, 100)
                taken = 0
                while budget.find_denial(_SHARE) is None:
                    attempt = budget.take()
                    taken += 1
                    if is_sent:
                        budget.record_sent(attempt)
                # The share of the slack, not what requests earned before.
                self.assertEqual(taken, 6)

    def test_rounding_errors_earn_no_attempt(self) -> None:
        # The share of the slack is 5.6, and each request earns 0.2.
        for count in (2, 7, 12, 17):
            with self.subTest(count=count):
                clock = _clocks.create_manual_clock()
                budget = gateway.create_attempt_budget(clock, _BOUNDS)
                _add_requests(clock, budget, 100)
                budget.record_sent(budget.take())
                clock.advance(10.0)
                _add_requests(clock, budget, count)
                # The attempt that was sent is one of these.
                earned = (56 + 2 * count) // 10
                self.assertEqual(budget.compute_remaining(_SHARE), earned - 1)

    def test_new_ratio_holds_for_what_was_sent_before(self) -> None:
        clock = _clocks.create_manual_clock()
        less = attrs.evolve(_BOUNDS, ratio=0.05)
        reloaded, other = (
            gateway.create_attempt_budget(clock, bounds)
            for bounds in (_BOUNDS, less)
        )
        for budget in (reloaded, other):
            _add_requests(clock, budget, 100)
            for _ in range(3):
                budget.record_sent(budget.take())
            _add_requests(clock, budget, 20)
            budget.record_sent(budget.take())
        reloaded.bounds = less
        self.assertEqual(reloaded.compute_remaining(_SHARE), 3.0)
        self.assertEqual(other.compute_remaining(_SHARE), 3.0)


def _add_requests(
    clock: _clocks.ManualClock, budget: gateway.AttemptBudget, count: int
) -> None:
    """Counts requests, and lets some time pass after each."""
    for _ in range(count):
        budget.add_request()
        clock.advance(10.0)
