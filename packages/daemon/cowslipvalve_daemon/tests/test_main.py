"""Tests of the program cowslipvalved."""

import unittest
from unittest import mock

from cowslipvalve_daemon import _main


class MainTest(unittest.TestCase):

    def test_collections_of_a_serving_daemon_do_not_scan_its_modules(
        self,
    ) -> None:
        steps = mock.Mock()
        with (
            mock.patch("gc.freeze", steps.freeze),
            mock.patch("asyncio.run", steps.run),
            mock.patch.object(_main, "_run", mock.Mock()),
            mock.patch.object(_main, "_settings"),
            mock.patch.object(_main, "_logs"),
        ):
            self.assertEqual(_main.serve("any"), _main.EXIT_OK)
        self.assertEqual(
            [name for name, _, _ in steps.method_calls], ["freeze", "run"]
        )
