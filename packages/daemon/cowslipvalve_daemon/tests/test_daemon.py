"""Tests of the order in which a daemon stops its parts."""

import unittest

import mode

from cowslipvalve_daemon import _daemon
from cowslipvalve_daemon import _settings
from cowslipvalve_standins import _deployments


class _Late(mode.Service):
    """Notes whether the daemon's connections are open when it stops."""

    def __init__(self, daemon: _daemon.Daemon) -> None:
        super().__init__()
        self._daemon = daemon
        self.closed: tuple[bool, bool] | None = None

    async def on_stop(self) -> None:
        """Uses the connections for the last time."""
        parts = self._daemon._components
        assert parts is not None
        self.closed = (
            parts.transport.session.closed,
            parts.platform_session.closed,
        )


class StopTest(unittest.IsolatedAsyncioTestCase):

    async def test_connections_outlive_the_services(self) -> None:
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
        late = _Late(daemon)
        await daemon.add_runtime_dependency(late)
        await daemon.stop()
        self.assertEqual(late.closed, (False, False))
        parts = daemon._components
        assert parts is not None
        self.assertTrue(parts.transport.session.closed)
        self.assertTrue(parts.platform_session.closed)
