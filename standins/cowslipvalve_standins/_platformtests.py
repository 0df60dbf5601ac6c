"""Base of tests that use the platform stand-in."""

import unittest

import aiohttp
from aiohttp import web

import cowslipvalve_store as store
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _platform


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Runs the platform stand-in in the process of the test."""

    async def asyncSetUp(self) -> None:
        """Starts the platform stand-in and a store client."""
        self.stand_in = _platform.create_platform()
        runner = web.AppRunner(
            self.stand_in.create_app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        port = _deployments.choose_ports(1)[0]
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.url = f"http://127.0.0.1:{port}"
        self.session = aiohttp.ClientSession()
        self.client = store.create_platform_client(self.session, self.url, 500)
        self.addAsyncCleanup(runner.cleanup)
        self.addAsyncCleanup(self.session.close)

    def set_faults(self, **faults: object) -> None:
        """Replaces the faults of the platform stand-in."""
        self.stand_in.faults = _platform.Faults(**faults)  # type: ignore[arg-type]
