"""Tests of log lines about requests whose shards did not answer."""

import unittest

from cowslipvalve_daemon import _missingreports
from cowslipvalve_standins import _clocks


class MissingReportsTest(unittest.TestCase):

    def test_outage_is_reported_by_a_few_lines_a_second(self) -> None:
        clock = _clocks.ManualClock()
        reports = _missingreports.create_missing_reports(clock)
        with self.assertLogs("cowslipvalve_daemon") as logs:
            for number in range(25):
                reports.report(f"r-{number}", "price-lists", ("3:lost:2:a",))
            clock.advance(1_000.0)
            reports.report("r-25", "price-lists", ("3:lost:2:a",))
        self.assertEqual(len(logs.output), 11)
        self.assertIn("'left_out_before': '15'", logs.output[-1])
        self.assertIn("3:lost:2:a", logs.output[0])


if __name__ == "__main__":
    unittest.main()
