"""Tests that the logs of failed tests are kept."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from cowslipvalve_standins import _keptlogs


class KeptLogsTest(unittest.TestCase):

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.kept = pathlib.Path(folder) / "kept"

    def run_example(self, is_failing: bool) -> str:
        """Runs a test that keeps its logs if it fails; returns its id."""
        kept = self.kept

        class ExampleTest(unittest.TestCase):

            def runTest(self) -> None:  # noqa: N802
                folder = self.enterContext(tempfile.TemporaryDirectory())
                logs = pathlib.Path(folder)
                (logs / "host.log").write_text("line")
                self.addCleanup(
                    _keptlogs.keep_logs_of_failure, self, logs, kept
                )
                self.assertFalse(is_failing)

        test = ExampleTest()
        with contextlib.redirect_stdout(io.StringIO()):
            test.run(unittest.TestResult())
        return test.id()

    def test_logs_of_a_failure_are_kept(self) -> None:
        for _ in range(2):  # The second copy replaces the first.
            name = self.run_example(is_failing=True)
            self.assertEqual(
                (self.kept / name / "host.log").read_text(), "line"
            )

    def test_logs_of_a_success_are_not_kept(self) -> None:
        self.run_example(is_failing=False)
        self.assertFalse(self.kept.exists())


if __name__ == "__main__":
    unittest.main()
