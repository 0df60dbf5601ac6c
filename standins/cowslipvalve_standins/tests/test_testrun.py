"""Tests of the runner of the tests."""

import gc
import io
import unittest

from cowslipvalve_standins import testrun

_LEFT_OBJECTS = 200_000
# What a full collection scans within some milliseconds.
_MAX_SCANNED_OBJECTS = 10_000


class RunnerTest(unittest.TestCase):

    def test_collections_do_not_scan_what_earlier_tests_left(self) -> None:
        scanned: list[int] = []

        class InnerTest(unittest.TestCase):

            def test_inner(self) -> None:
                scanned.append(len(gc.get_objects()))

        left: list[object] = [[] for _ in range(_LEFT_OBJECTS)]
        runner = unittest.TextTestRunner(
            io.StringIO(), resultclass=testrun._Result
        )
        result = runner.run(
            unittest.defaultTestLoader.loadTestsFromTestCase(InnerTest)
        )
        self.assertEqual(len(left), _LEFT_OBJECTS)
        self.assertTrue(result.wasSuccessful())
        self.assertLess(scanned[0], _MAX_SCANNED_OBJECTS)
