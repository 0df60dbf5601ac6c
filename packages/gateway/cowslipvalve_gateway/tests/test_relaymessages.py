"""Tests of the messages of relayed requests."""

import unittest

import cowslipvalve_base as base
from cowslipvalve_gateway import _relaymessages


class RelayedAnswerTest(unittest.TestCase):

    def test_status_out_of_range_from_an_earlier_version_is_no_answer(
        self,
    ) -> None:
        for status in (0, 99, 600, 999):
            with self.subTest(status):
                answer = _relaymessages.RelayedAnswer(
                    status=status, proof="p", headers=(), body_bytes=0
                )
                with self.assertRaises(base.InputError):
                    answer.to_server_answer(b"")


if __name__ == "__main__":
    unittest.main()
