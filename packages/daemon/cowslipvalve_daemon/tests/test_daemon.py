"""Tests of the order in which a daemon closes its components."""

import unittest

import mode

from cowslipvalve_daemon import _daemon
from cowslipvalve_daemon import _settings
from cowslipvalve_standins import _deployments


class _LastService(mode.Service):
    """Records whether the daemon's sessions are closed when it stops."""

    def __init__(self, daemon: _daemon.Daemon) -> None:
        super().__init__()
        self._daemon = daemon
        self.closed: tuple[bool, bool] | None = None

    async def on_stop(self) -> None:
        """Records the state of the sessions in place of a last request."""
        components = self._daemon._components
        assert components is not None
        self.closed = (
            components.transport.session.closed,
            components.platform_session.closed,
        )


class StopTest(unittest.IsolatedAsyncioTestCase):

    async def test_sessions_close_after_the_services_stop(self) -> None:
        ports = _deployments.choose_ports(4)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        daemon = _daemon.Daemon(
            _settings.Settings(
                host="kuopio-1",
                failure_domain="kuopio",
                caller_address=addresses[0],
                peer_address=addresses[1],
                operations_address=addresses[2],
                platform_url=f"http://{addresses[3]}",
            )
        )
        await daemon.start()
        last_service = _LastService(daemon)
        await daemon.add_runtime_dependency(last_service)
        await daemon.stop()
        self.assertEqual(last_service.closed, (False, False))
        components = daemon._components
        assert components is not None
        self.assertTrue(components.transport.session.closed)
        self.assertTrue(components.platform_session.closed)
