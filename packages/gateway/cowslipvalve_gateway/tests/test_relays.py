"""Tests of what helpers report of relayed requests."""

import unittest

from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _relaymessages
from cowslipvalve_gateway import _relays
from cowslipvalve_gateway import _resources

_DENIALS = (408, 421, 429, 503)


def _create_route(is_idempotent: bool) -> _resources.Route:
    return _resources.Route(
        name="write",
        host="search.example",
        path_prefix="/write/",
        is_idempotent=is_idempotent,
        timeout_ms=1_500.0,
        target_ms=200.0,
        max_attempts=2,
    )


def _read(status: int, is_idempotent: bool) -> _calls.Outcome | None:
    answer = _relaymessages.RelayedAnswer(
        status=status, proof="p", headers=(), body_bytes=0
    )
    report = _relaymessages.RelayReport(answer=answer)
    route = _create_route(is_idempotent)
    return _relays._read_result(report, b"", route).outcome  # noqa: SLF001


class RelayedDenialTest(unittest.TestCase):

    # Guards against an order that runs twice, as a helper of an earlier version
    # passed on a status that promises that it has not run.
    def test_denial_from_an_earlier_version_is_no_promise(self) -> None:
        for status in _DENIALS:
            with self.subTest(status):
                outcome = _read(status, is_idempotent=False)
                assert isinstance(outcome, _calls.Refusal)
                self.assertFalse(outcome.is_not_run)
                self.assertIsNone(outcome.retry_after_ms)

    def test_other_answers_are_passed_on(self) -> None:
        for status, is_idempotent in ((200, False), (500, False), (503, True)):
            with self.subTest(status):
                outcome = _read(status, is_idempotent)
                assert isinstance(outcome, _calls.ServerAnswer)
                self.assertEqual(outcome.status, status)


if __name__ == "__main__":
    unittest.main()
