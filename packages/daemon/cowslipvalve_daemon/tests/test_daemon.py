"""Tests of the order in which a daemon closes its components."""

import asyncio
import contextlib
import socket
import time
import unittest

import mode

from cowslipvalve_daemon import _daemon
from cowslipvalve_daemon import _settings
from cowslipvalve_standins import _deployments

_LOSS_S = 0.2  # Callers consider a later close a lost request.


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

    async def start_daemon(self) -> _daemon.Daemon:
        """Starts a daemon whose platform does not answer."""
        ports = _deployments.choose_ports(4)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.caller_address = ("127.0.0.1", ports[0])
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
        return daemon

    async def test_sessions_close_after_the_services_stop(self) -> None:
        daemon = await self.start_daemon()
        last_service = _LastService(daemon)
        await daemon.add_runtime_dependency(last_service)
        await daemon.stop()
        self.assertEqual(last_service.closed, (False, False))
        components = daemon._components
        assert components is not None
        self.assertTrue(components.transport.session.closed)
        self.assertTrue(components.platform_session.closed)

    async def test_request_on_a_connection_accepted_at_the_stop_is_answered(
        self,
    ) -> None:
        # aiohttp read and dropped it, and closed 1 s later without an answer.
        answered = 0
        for turns in range(6):
            with self.subTest(turns=turns):
                daemon = await self.start_daemon()
                answer, took_s = await self._call_at_the_stop(daemon, turns)
                self.assertTrue(answer or took_s < _LOSS_S, took_s)
                answered += answer.startswith(b"HTTP/1.1 503")
        self.assertGreaterEqual(answered, 3)

    async def _call_at_the_stop(
        self, daemon: _daemon.Daemon, turns: int
    ) -> tuple[bytes, float]:
        """Connects, stops the daemon after some turns of the loop, and calls.

        Returns the answer, and when its connection was closed, in s after the
        request.
        """
        # The kernel completes the connection; the daemon has not accepted it.
        caller = socket.create_connection(self.caller_address)
        caller.setblocking(False)
        for _ in range(turns):
            await asyncio.sleep(0)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.02)
        loop = asyncio.get_running_loop()
        answer = b""
        started_s = time.monotonic()
        request = (
            b"POST /v1/searches/a/query HTTP/1.1\r\nHost: a\r\n"
            b'Connection: close\r\nContent-Length: 13\r\n\r\n{"query": {}}'
        )
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(3):
                await loop.sock_sendall(caller, request)
                while received := await loop.sock_recv(caller, 4_096):
                    answer += received
        took_s = time.monotonic() - started_s
        caller.close()
        await stopping
        return answer, took_s
