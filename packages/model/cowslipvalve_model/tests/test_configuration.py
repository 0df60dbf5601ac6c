"""Tests of configurations and their deltas."""

import unittest

import hypothesis
from hypothesis import strategies

import cowslipvalve_model as model

_NAMES = strategies.sampled_from(("a", "b", "c", "d"))
_DEADLINES = strategies.integers(1, 3)
_SEARCHES = strategies.dictionaries(_NAMES, _DEADLINES)


def _create_configuration(
    number: int, deadlines: dict[str, int]
) -> model.Configuration:
    return model.Configuration(
        number=number,
        searches={
            name: model.Search(
                metadata=model.Metadata(name=name),
                spec=model.SearchSpec(deadline_ms=deadline_ms),
            )
            for name, deadline_ms in deadlines.items()
        },
    )


class DeltaTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_SEARCHES, _SEARCHES)
    def test_delta_leads_from_old_to_new(
        self, old: dict[str, int], new: dict[str, int]
    ) -> None:
        before, after = _create_configuration(4, old), _create_configuration(
            5, new
        )
        delta = model.compute_delta(before, after)
        self.assertEqual(model.apply_delta(before, delta), after)
        whole = model.compute_full_delta(after)
        self.assertEqual(
            model.apply_delta(_create_configuration(2, old), whole), after
        )

    def test_older_delta_or_other_base_changes_nothing(self) -> None:
        current = _create_configuration(5, {"a": 1})
        for delta in (
            model.compute_full_delta(_create_configuration(4, {"b": 1})),
            model.compute_full_delta(_create_configuration(5, {"b": 1})),
            model.compute_delta(
                _create_configuration(3, {}), _create_configuration(6, {"b": 1})
            ),
        ):
            self.assertIs(model.apply_delta(current, delta), current)
