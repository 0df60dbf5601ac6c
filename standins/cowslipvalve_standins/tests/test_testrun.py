"""Tests of the runner of the tests."""

import gc
import io
import subprocess
import sys
import unittest

from cowslipvalve_standins import testrun

_LEFT_OBJECTS = 200_000
# What a full collection scans within some milliseconds.
_MAX_SCANNED_OBJECTS = 10_000
_ENDLESS_TEST = """
import threading, unittest
from cowslipvalve_standins import testrun

class EndlessTest(unittest.TestCase):
    def test_endless(self):
        threading.Event().wait()

testrun._MAX_TEST_S = 0.2
unittest.main(
    testRunner=unittest.TextTestRunner(
        resultclass=testrun._Result, verbosity=2
    )
)
"""
_MAX_RUN_S = 30.0


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

    def test_run_ends_at_a_test_without_an_end(self) -> None:
        # A submission was refused as one kept CI from its verdict.
        run = subprocess.run(
            [sys.executable, "-c", _ENDLESS_TEST],
            capture_output=True,
            text=True,
            timeout=_MAX_RUN_S,
            check=False,
        )
        self.assertEqual(run.returncode, 1, run.stderr)
        self.assertIn("test_endless", run.stderr)
        self.assertIn("in wait", run.stderr)
