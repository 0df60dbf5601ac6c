"""Tests of compiling resources into a configuration."""

import unittest
from typing import Any

import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_daemon import _compilers


def _create_search(deadline_ms: Any, name: str = "s") -> store.StoredObject:
    return store.create_object(
        "Search", name, {"deadlineMs": deadline_ms}, "aino"
    )


class CompilationTest(unittest.TestCase):

    def setUp(self) -> None:
        self.first = _compilers.compile_configuration(
            model.Configuration(), [_create_search(100)], 1
        )

    def test_first_configuration_has_number_one(self) -> None:
        self.assertEqual(self.first.configuration.number, 1)
        change = self.first.changes[0]
        self.assertEqual((change.operator, change.before), ("aino", ""))
        search = self.first.configuration.searches["s"]
        self.assertEqual(search.status.accepted_number, 1)

    def test_same_specs_change_nothing(self) -> None:
        touched = attrs.evolve(
            _create_search(100),
            metadata=model.Metadata(name="s", resource_version=9),
        )
        again = _compilers.compile_configuration(
            self.first.configuration, [touched], 2
        )
        self.assertIs(again.configuration, self.first.configuration)
        self.assertEqual(again.changes, ())

    def test_invalid_resource_keeps_its_spec_and_others_change(self) -> None:
        compiled = _compilers.compile_configuration(
            self.first.configuration,
            [_create_search("soon"), _create_search(5, "t")],
            2,
        )
        searches = compiled.configuration.searches
        self.assertEqual(searches["s"].spec.deadline_ms, 100)
        self.assertEqual(searches["t"].spec.deadline_ms, 5)
        self.assertEqual([c.name for c in compiled.changes], ["t"])
        self.assertIn("deadlineMs", compiled.rejections[0].message)

    def test_new_invalid_resource_is_left_out(self) -> None:
        compiled = _compilers.compile_configuration(
            model.Configuration(), [_create_search(0)], 1
        )
        self.assertEqual(compiled.configuration.number, 0)
        self.assertEqual(len(compiled.rejections), 1)

    def test_deletion_is_a_change(self) -> None:
        compiled = _compilers.compile_configuration(
            self.first.configuration, [], 2
        )
        self.assertEqual(compiled.configuration.searches, {})
        self.assertEqual(compiled.changes[0].after, "")
