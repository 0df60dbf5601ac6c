"""Tests of the count of extra arrivals, and a short run of real hosts."""

import pathlib
import tempfile
import unittest

from cowslipvalve_standins import _arrivals
from cowslipvalve_standins import _budgetsoaks
from cowslipvalve_standins import _keptlogs
from cowslipvalve_standins import _wireserver

_SECOND_MS = 1_000.0


class ArrivalsTest(unittest.TestCase):

    def test_first_arrival_of_a_request_is_not_extra(self) -> None:
        arrivals = [
            _wireserver.ReceivedRequest(
                line="GET / HTTP/1.1",
                headers={"request-id": request_id},
                body=b"",
                read_ms=read_ms,
            )
            for request_id, read_ms in (("b", 3.0), ("a", 1.0), ("a", 2.0))
        ]
        self.assertEqual(_arrivals.find_extra(arrivals), [2.0])

    def test_best_of_three_windows_counts_the_requests(self) -> None:
        # When 100 requests were sent, in s before the end of the window with
        # 70 extra arrivals, and how many extra arrivals are allowed.
        cases = ((5.0, 76), (12.0, 76), (18.0, 76), (20.5, 56), (-1.0, 56))
        for before_s, allowed in cases:
            with self.subTest(before_s):
                end_ms = 100.0 * _SECOND_MS
                worst = _arrivals.find_worst_window(
                    [end_ms] * 70, [end_ms - before_s * _SECOND_MS] * 100
                )
                self.assertEqual((worst.extra, worst.allowed), (70, allowed))


class BudgetSoakTest(unittest.IsolatedAsyncioTestCase):

    async def test_killed_and_replaced_hosts_keep_the_bound(self) -> None:
        for fault in ("kill", "replace"):
            with (
                self.subTest(fault),
                tempfile.TemporaryDirectory() as folder,
            ):
                path = pathlib.Path(folder)
                soak = _budgetsoaks.BudgetSoak(path, 1)
                result = await soak.run(fault, 25.0)
                if result.worst.excess > 0:
                    _keptlogs.keep_logs(f"{self.id()}-{fault}", path)
                self.assertLessEqual(result.worst.excess, 0)
                self.assertGreater(result.extra, 50)
