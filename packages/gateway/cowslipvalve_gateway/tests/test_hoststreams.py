"""Tests of requests to other hosts that report on their work."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest
from collections.abc import AsyncGenerator
from typing import Any
from unittest import mock

import aiohttp

import cowslipvalve_base as base
import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _hoststreams

_CONNECT_MS = 50.0
_SILENCE_MS = 60.0
# Longer than the time to connect and the time to the first report.
_BUSY_S = 0.3
# The host reports while this process's event loop is busy.
_REPORT_DELAY_S = 0.05
# The thread of a host that nobody asks ends after it.
_ACCEPT_S = 5.0
# Less than a silence.
_LATE_S = 0.02


def _create_response(lines: int) -> tuple[gateway.GroupReport, bytes, bytes]:
    """Returns a report, the head of a response with some, and its line."""
    report = gateway.GroupReport(asked=("i-1",))
    line = base.encode(report) + b"\n"
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {lines * len(line)}\r\n\r\n"
    return report, head.encode(), line


async def _hang(*_args: object) -> None:
    await asyncio.Event().wait()


class HostStreamTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.asked = threading.Event()
        # Set at the end of a busy turn, after which the last piece is sent.
        self.is_idle = threading.Event()
        self.is_idle.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(_ACCEPT_S)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def start_host(self, *pieces: bytes) -> None:
        """Starts a host in a thread, so that it answers a busy event loop."""
        thread = threading.Thread(target=self._serve, args=pieces)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.listener.close)
        # The thread ends with the connection, which the session keeps.
        self.addAsyncCleanup(self.session.close)

    def _serve(self, *pieces: bytes) -> None:
        with self._accept_request() as connection:
            self.asked.set()
            for piece in pieces[:-1]:
                time.sleep(_REPORT_DELAY_S)
                connection.sendall(piece)
            if self.is_idle.is_set():
                time.sleep(_REPORT_DELAY_S)
            else:
                self.is_idle.wait()
                time.sleep(_LATE_S)
            connection.sendall(pieces[-1])
            with contextlib.suppress(ConnectionError):
                while connection.recv(65_536):  # Until the caller closes.
                    pass

    def _accept_request(self) -> socket.socket:
        """Returns the first connection on which a request came."""
        while True:
            connection, _ = self.listener.accept()
            if connection.recv(65_536):
                return connection
            connection.close()

    async def ask(self) -> list[gateway.GroupReport]:
        """Returns the reports of the host."""
        return [report async for report in self.start_to_ask()]

    def start_to_ask(self) -> AsyncGenerator[gateway.GroupReport, None]:
        """Returns the reports of the host as they come."""
        port = self.listener.getsockname()[1]
        return _hoststreams.ask(
            self.session,
            f"127.0.0.1:{port}",
            gateway.GROUP_PATH,
            {},
            gateway.GroupReport,
            _CONNECT_MS,
            _SILENCE_MS,
        )

    async def test_report_that_came_during_a_busy_turn_is_read(self) -> None:
        report, head, line = _create_response(1)
        self.start_host(head + line)
        asking = asyncio.create_task(self.ask())
        await self.stay_busy()
        self.assertEqual(await asking, [report])

    async def stay_busy(self) -> None:
        """Blocks the event loop as soon as the host was asked."""
        while not self.asked.is_set():  # noqa: ASYNC110
            await asyncio.sleep(0)
        time.sleep(_BUSY_S)  # noqa: ASYNC251
        self.is_idle.set()

    async def test_host_is_not_silent_for_the_time_of_a_busy_turn(self) -> None:
        # Hosts that were slow together gave each other up (502).
        report, head, line = _create_response(2)
        self.is_idle.clear()
        self.start_host(head + line, line)
        reports = self.start_to_ask()
        self.assertEqual(await anext(reports), report)
        next_report = asyncio.ensure_future(anext(reports))
        await asyncio.sleep(0)
        await self.stay_busy()
        self.assertEqual(await next_report, report)
        await reports.aclose()

    async def test_host_is_not_silent_for_the_time_of_a_busy_turn_at_first(
        self,
    ) -> None:
        report, head, line = _create_response(1)
        self.is_idle.clear()
        self.start_host(head + line)
        asking = asyncio.create_task(self.ask())
        await self.stay_busy()
        self.assertEqual(await asking, [report])

    async def test_busy_turn_while_connecting_does_not_fail_the_request(
        self,
    ) -> None:
        # Its host then sent nothing to the other one for a second.
        report, head, line = _create_response(1)
        self.start_host(head + line)
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def stay_busy_once(*args: Any) -> None:
            loop.sock_connect = connect  # type: ignore[method-assign]
            await connect(*args)
            time.sleep(_BUSY_S)  # noqa: ASYNC251

        with mock.patch.object(loop, "sock_connect", stay_busy_once):
            self.assertEqual(await self.ask(), [report])

    async def test_host_that_takes_no_connection_is_given_up(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = time.monotonic()
        with (
            mock.patch.object(loop, "sock_connect", _hang),
            self.assertRaises(_errors.UnsentError),
        ):
            await self.ask()
        self.assertLess(time.monotonic() - started_s, _BUSY_S)

    async def test_silent_host_is_given_up_soon_after_a_busy_turn(self) -> None:
        self.start_host(b"")
        asking = asyncio.create_task(self.ask())
        await self.stay_busy()
        started_s = time.monotonic()
        with self.assertRaises(_errors.HostUnavailableError):
            await asking
        self.assertLess(time.monotonic() - started_s, 2 * _SILENCE_MS / 1_000)

    async def test_reports_after_the_first_one_are_read(self) -> None:
        # A response that was closed early passed with a single report.
        report, head, line = _create_response(2)
        self.start_host(head + line, line)
        self.assertEqual(await self.ask(), [report, report])

    async def test_host_that_stays_silent_is_given_up(self) -> None:
        self.start_host(b"")
        started_s = time.monotonic()
        with self.assertRaises(_errors.HostUnavailableError):
            await self.ask()
        self.assertLess(time.monotonic() - started_s, _BUSY_S)
