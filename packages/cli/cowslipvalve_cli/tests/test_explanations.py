"""Tests of the search for a request's decisions in logs."""

import unittest

from cowslipvalve_cli import _explanations

_LINES = (
    ("a", 'at="10:00:02,5" level=INFO msg=request request=r1 outcome=merged'),
    ("b", 'at="10:00:01,7" level=INFO msg=hedge request=r1 server=i-1'),
    ("a", 'at="10:00:01,0" level=INFO msg=request request=r2 outcome=merged'),
    ("b", " 12.1 front-2 at=10:00:01,9 msg=attempt-failed request=r1 "
     'error="a \\"reset\\" came"'),
    ("a", "a line that names r1 in passing"),
)  # fmt: skip


class ExplanationTest(unittest.TestCase):

    def test_decisions_of_all_hosts_in_order(self) -> None:
        found = _explanations.find_decisions("r1", _LINES)
        self.assertEqual(
            [(d.source, d.event) for d in found],
            [("b", "hedge"), ("b", "attempt-failed"), ("a", "request")],
        )
        self.assertIn(("error", 'a "reset" came'), found[1].fields)

    def test_other_requests_are_left_out(self) -> None:
        self.assertEqual(len(_explanations.find_decisions("r2", _LINES)), 1)
        self.assertEqual(_explanations.find_decisions("r3", _LINES), [])


if __name__ == "__main__":
    unittest.main()
