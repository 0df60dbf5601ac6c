"""Logs of failed tests, kept so that their failures can be traced."""

import pathlib
import shutil
import unittest

_FOLDER = pathlib.Path("target") / "failed-tests"


def keep_logs(
    test_id: str, logs: pathlib.Path, kept: pathlib.Path = _FOLDER
) -> pathlib.Path:
    """Copies the logs of a test's processes; returns the folder of the copy.

    Args:
      test_id: The id of the test; an earlier copy of it is replaced.
      logs: The folder of the logs.
      kept: The folder of the logs of all tests.
    """
    copy = kept / test_id
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(logs, copy)
    print(f"logs of {test_id}: {copy}", flush=True)
    return copy


def keep_logs_of_failure(
    test: unittest.TestCase,
    logs: pathlib.Path,
    kept: pathlib.Path = _FOLDER,
) -> None:
    """Keeps the logs if the test has failed; to be called as a cleanup."""
    outcome = test._outcome  # type: ignore[attr-defined] # noqa: SLF001
    failures = outcome.result.failures + outcome.result.errors
    # A failed subtest counts as a failure of its test.
    if any(
        getattr(failed, "test_case", failed) is test for failed, _ in failures
    ):
        keep_logs(test.id(), logs, kept)
