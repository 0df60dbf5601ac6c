"""Tests of listening sockets: addresses that are not free, and the end."""

import asyncio
import contextlib
import socket
import unittest

from aiohttp import web

import cowslipvalve_base as base

_MAX_WAIT_MS = 150.0
_LOSS_S = 0.2  # Callers consider a later close a lost request.


async def _handle(_: web.BaseRequest) -> web.Response:
    return web.Response()


def _create_server() -> base.Server:
    return base.Server(_handle, base.create_clock())


def _create_application() -> web.Application:
    application = web.Application()
    application.router.add_get("/", _handle)
    return application


class ListenersTest(unittest.IsolatedAsyncioTestCase):

    async def open(self, address: str) -> None:
        """Listens on an address until the end of the test."""
        listeners = base.create_listeners(base.create_clock(), _MAX_WAIT_MS)
        self.addAsyncCleanup(listeners.close)
        await listeners.open("callers", _create_server(), address)

    async def test_wait_for_an_address_ends(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        port = listening.getsockname()[1]
        # The end of another program's connection.
        outgoing = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(outgoing.close)
        cases = {
            "listening": f"127.0.0.1:{port}",
            "outgoing": f"127.0.0.1:{outgoing.getsockname()[1]}",
            "not on an interface": "192.0.2.1:8104",
        }
        for name, address in cases.items():
            with (
                self.subTest(name),
                self.assertLogs("cowslipvalve_base") as logs,
                self.assertRaisesRegex(base.AddressError, address),
            ):
                await self.open(address)
            self.assertEqual(len(logs.output), 1)

    async def test_address_of_a_host_that_was_closed_is_free(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        caller = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(caller.close)
        accepted, _ = listening.accept()
        # The side that closes first keeps the port, in TIME_WAIT.
        accepted.close()
        listening.close()
        caller.close()
        await self.open(f"127.0.0.1:{port}")

    async def test_request_on_a_connection_accepted_at_the_end_is_answered(
        self,
    ) -> None:
        # aiohttp read and dropped it, and closed 0.5 s later without an answer.
        for create in (_create_server, _create_application):
            served = 0
            for turns in range(8):
                with self.subTest(create.__name__, turns=turns):
                    is_served, took_s = await self._call_at_the_end(
                        create(), turns
                    )
                    self.assertTrue(is_served or took_s < _LOSS_S, took_s)
                    served += is_served
            self.assertGreaterEqual(served, 4)

    async def _call_at_the_end(
        self, server: base.Server | web.Application, turns: int
    ) -> tuple[bool, float]:
        """Connects, ends the host after some turns of the loop, and calls.

        Returns whether the request was answered, and when its connection was
        closed, in s after the request.
        """
        clock = base.create_clock()
        listeners = base.create_listeners(clock, _MAX_WAIT_MS)
        probe = socket.create_server(("127.0.0.1", 0))
        address = probe.getsockname()
        probe.close()
        await listeners.open("callers", server, f"{address[0]}:{address[1]}")
        # The kernel completes the connection; the host has not accepted it.
        caller = socket.create_connection(address)
        for _ in range(turns):
            await asyncio.sleep(0)
        closing = asyncio.create_task(listeners.close())
        await asyncio.sleep(0.02)
        caller.setblocking(False)
        answer = b""
        started_ms = clock.now_ms()
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(2):
                await loop.sock_sendall(
                    caller,
                    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                )
                while received := await loop.sock_recv(caller, 4_096):
                    answer += received
        took_ms = clock.now_ms() - started_ms
        caller.close()
        await closing
        return answer.startswith(b"HTTP/1.1 200"), took_ms / 1_000


if __name__ == "__main__":
    unittest.main()
