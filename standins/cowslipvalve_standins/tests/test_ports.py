"""Tests of the reservation of ports."""

import asyncio
import pathlib
import sys
import unittest

from cowslipvalve_standins import _deployments

_COUNT = 500
_CHOOSE = (
    "from cowslipvalve_standins import _deployments;"
    f"print(*_deployments.choose_ports({_COUNT}), flush=True); input()"
)


def _count_descriptors() -> int:
    return len(list(pathlib.Path("/proc/self/fd").iterdir()))


class PortTest(unittest.IsolatedAsyncioTestCase):

    def test_reserved_ports_use_up_no_descriptors(self) -> None:
        before = _count_descriptors()
        _deployments.choose_ports(_COUNT)
        self.assertLessEqual(_count_descriptors(), before + 1)

    async def test_processes_that_run_at_once_get_distinct_ports(self) -> None:
        processes = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                _CHOOSE,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            for _ in range(4)
        ]
        ports: list[bytes] = []
        for process in processes:
            assert process.stdout is not None
            ports.extend((await process.stdout.readline()).split())
        for process in processes:
            await process.communicate(b"\n")
        self.assertEqual(len(set(ports)), _COUNT * len(processes))
