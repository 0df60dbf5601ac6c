"""Tests of the extra load budget."""

import unittest

import hypothesis
from hypothesis import strategies

import cowslipvalve_policy as policy

_MAX_TOKENS = 20  # The extra attempts that the budget can hold.


class ExtraLoadBudgetTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 400), strategies.integers(0, 50)
            )
        )
    )
    def test_extra_attempts_stay_below_the_share(
        self, steps: list[tuple[int, int]]
    ) -> None:
        budget = policy.create_extra_load_budget(0.05)
        first = extra = 0
        for attempts, wanted in steps:
            budget.add_first_attempts(attempts)
            first += attempts
            extra += budget.take(wanted)
            self.assertLessEqual(extra, 0.05 * first + _MAX_TOKENS)

    def test_share_of_zero_allows_none(self) -> None:
        budget = policy.create_extra_load_budget(0)
        budget.add_first_attempts(1_000)
        self.assertEqual(budget.take(1), 0)
