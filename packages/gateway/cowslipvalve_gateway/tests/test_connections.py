"""Tests of connections to servers that send bytes that are no answer."""

import asyncio
import itertools
import socket
import time
import unittest
from collections.abc import Iterator

import cowslipvalve_base as base
import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _endlessservers

_LIMITS = gateway.AnswerLimits(
    max_head_bytes=20_000,
    max_answer_bytes=500_000,
    max_informational=5,
    max_total_bytes=900_000,
    guaranteed_bytes=10_000,
)
# More than a small receive buffer holds, less than a send buffer.
_SENT_BYTES = 100_000
# What the kernel's buffers of a loopback connection hold beside the limit.
_BUFFERED_BYTES = 8_000_000
_OK = _endlessservers.OK
_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
_OTHER_ANSWER = _endlessservers.OTHER_ANSWER
# Callers give up a host that reads nothing of a request for so long.
_READ_S = 1.0


class EndlessServer:
    """Sends bytes on each connection until its peer closes it.

    Attributes:
      sent_bytes: The bytes that were sent on all connections.
      closed: Set when a peer has closed a connection.
    """

    def __init__(self, pieces: Iterator[bytes]) -> None:
        self._pieces = pieces
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for piece in self._pieces:
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()


async def _exchange(pool: gateway.ServerPool) -> gateway.RawAnswer:
    connection = await pool.acquire(5_000.0)
    try:
        return await connection.exchange(
            _REQUEST, lambda answer: answer.header(b"request-id") != "other"
        )
    finally:
        pool.release(connection)


class ServerConnectionTest(unittest.IsolatedAsyncioTestCase):

    async def start(self, pieces: Iterator[bytes]) -> EndlessServer:
        """Starts a server that sends the pieces to the first connection."""
        server = EndlessServer(pieces)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(listener.wait_closed)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return server

    async def exchange(self, memory: gateway.AnswerMemory) -> gateway.RawAnswer:
        pool = gateway.create_server_pool(
            base.create_clock(), self.address, 4, memory
        )
        connection = await pool.acquire(1_000.0)
        try:
            return await connection.exchange(
                b"GET / HTTP/1.1\r\n\r\n",
                lambda answer: answer.header(b"request-id") != "other",
            )
        finally:
            pool.release(connection)
            pool.close()
            self.assertEqual(pool.open_count, 0)

    async def test_answers_without_end_are_lost_and_closed(self) -> None:
        for name, (first, rest) in _endlessservers.ENDLESS.items():
            with self.subTest(name):
                memory = gateway.create_answer_memory(_LIMITS)
                server = await self.start(
                    itertools.chain([first], itertools.repeat(rest))
                )
                async with asyncio.timeout(5.0):
                    with self.assertRaises(gateway.LostAnswerError):
                        await self.exchange(memory)
                    await server.closed.wait()
                self.assertLess(
                    server.sent_bytes,
                    _LIMITS.max_answer_bytes + _BUFFERED_BYTES,
                )
                self.assertEqual(memory.used_bytes, 0)

    async def test_connection_that_is_lost_amid_an_answer_is_broken(
        self,
    ) -> None:
        head = _OK + b"Content-Length: 9\r\n\r\n"
        chunk = _OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbe\r\n"
        for sent in (b"", b"HTTP/1.1 2", _OK, head, head + b"be", chunk):
            with self.subTest(sent):
                await self.start(iter([sent]))
                with self.assertRaises(gateway.BrokenConnectionError):
                    await self.exchange(gateway.create_answer_memory(_LIMITS))

    async def test_answer_that_is_no_answer_breaks_no_connection(self) -> None:
        await self.start(iter([b"HTTP/1.1 000 X\r\n\r\n"]))
        with self.assertRaises(gateway.LostAnswerError) as caught:
            await self.exchange(gateway.create_answer_memory(_LIMITS))
        self.assertNotIsInstance(
            caught.exception, gateway.BrokenConnectionError
        )

    async def test_few_answers_to_other_requests_are_read(self) -> None:
        # Each one up to the limit of bytes was parsed in the same turn.
        await self.start(iter([_OTHER_ANSWER * 5_000]))
        seen: list[gateway.RawAnswer] = []

        def refuse(answer: gateway.RawAnswer) -> bool:
            seen.append(answer)
            return False

        pool = gateway.create_server_pool(
            base.create_clock(), self.address, 4, None
        )
        connection = await pool.acquire(1_000.0)
        with self.assertRaisesRegex(gateway.LostAnswerError, "other requests"):
            await connection.exchange(_REQUEST, refuse)
        pool.release(connection)
        pool.close()
        self.assertLessEqual(
            len(seen), gateway.AnswerLimits().max_unexpected + 1
        )

    async def test_late_answers_before_the_answer_are_skipped(self) -> None:
        late = _OTHER_ANSWER * gateway.AnswerLimits().max_unexpected
        await self.start(iter([late + _OK + b"Content-Length: 2\r\n\r\nme"]))
        answer = await self.exchange(gateway.create_answer_memory())
        self.assertEqual(answer.body, b"me")

    async def test_servers_without_end_do_not_hold_up_other_requests(
        self,
    ) -> None:
        for name, (first, rest) in _endlessservers.ENDLESS.items():
            with self.subTest(name):
                worst_s = await self._measure_beside(first, rest)
                self.assertLess(worst_s, _READ_S)

    async def _measure_beside(self, first: bytes, rest: bytes) -> float:
        """Returns the longest exchange beside answers without end, in s."""
        server = _endlessservers.start_endless_server(self, first, rest)
        endless = gateway.create_server_pool(
            base.create_clock(),
            server.address,
            _endlessservers.CONNECTIONS,
            gateway.create_answer_memory(),
        )
        calls = [
            asyncio.create_task(_exchange(endless))
            for _ in range(_endlessservers.CONNECTIONS)
        ]
        worst_s = 0.0
        while not all(call.done() for call in calls):
            await self.start(iter([_OK + b"Content-Length: 0\r\n\r\n"]))
            started_s = time.monotonic()
            await self.exchange(gateway.create_answer_memory())
            worst_s = max(worst_s, time.monotonic() - started_s)
            await asyncio.sleep(0.02)
        for result in await asyncio.gather(*calls, return_exceptions=True):
            self.assertIsInstance(result, gateway.LostAnswerError)
        endless.close()
        return worst_s

    async def test_answers_in_progress_share_a_limit(self) -> None:
        # Each answer is within its own limit; together they are not.
        memory = gateway.create_answer_memory(_LIMITS)
        size = 400_000
        head = _OK + b"Content-Length: %d\r\n\r\n" % size
        hold = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(head + b"x" * (size - 1))
            await hold.wait()
            writer.write(b"x")
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        tasks = [asyncio.create_task(self.exchange(memory)) for _ in range(4)]
        done, _ = await asyncio.wait(
            tasks, timeout=5.0, return_when=asyncio.FIRST_EXCEPTION
        )
        self.assertTrue(done)
        hold.set()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        listener.close()
        answers = [r for r in results if isinstance(r, gateway.RawAnswer)]
        self.assertTrue(answers)
        self.assertEqual({len(answer.body) for answer in answers}, {size})
        for result in results:
            if not isinstance(result, gateway.RawAnswer):
                self.assertIsInstance(result, gateway.LostAnswerError)
        self.assertEqual(memory.used_bytes, 0)

    async def test_informational_response_is_no_answer(self) -> None:
        hint = b"HTTP/1.1 103 Early Hints\r\nServer-Stamp: x\r\n\r\n"
        await self.start(iter([hint]))
        memory = gateway.create_answer_memory(_LIMITS)
        with self.assertRaises(gateway.LostAnswerError):
            await self.exchange(memory)
        body = _OK + b"Content-Length: 2\r\n\r\nok"
        await self.start(iter([hint, hint, body]))
        answer = await self.exchange(memory)
        self.assertEqual((answer.status, answer.body), (200, b"ok"))

    async def test_answer_cut_at_any_byte_is_lost(self) -> None:
        head = _OK + b"Server-Stamp: a.1\r\nRequest-Id: r\r\n"
        hint = b"HTTP/1.1 103 Early Hints\r\nServer-Stamp: x\r\n\r\n"
        late = head.replace(b": r", b": other") + b"Content-Length: 1\r\n\r\nx"
        sized = b"Content-Length: 4\r\n\r\nbody"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        answers = {
            "with length": head + sized,
            "chunked": head + chunked,
            "after a hint": hint + head + sized,
            "after a late answer": late + head + chunked,
            # Only the end of the connection completes this one.
            "head without length": head + b"\r",
        }
        memory = gateway.create_answer_memory(_LIMITS)
        for name, answer in answers.items():
            for size in range(len(answer)):
                with self.subTest(name, size=size):
                    await self.start(iter([answer[:size]]))
                    with self.assertRaises(gateway.LostAnswerError):
                        await self.exchange(memory)

    async def test_answer_cut_on_a_kept_connection_is_lost(self) -> None:
        answer = _OK + b"Content-Length: 4\r\n\r\nbody"
        for size in range(len(answer)):
            with self.subTest(size=size):
                await self._exchange_twice(answer, answer[:size])

    async def _exchange_twice(self, first: bytes, second: bytes) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for answer in (first, second):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        pool = gateway.create_server_pool(
            base.create_clock(), f"127.0.0.1:{port}", 4
        )
        connection = await pool.acquire(1_000.0)
        request = b"GET / HTTP/1.1\r\n\r\n"
        await connection.exchange(request, lambda _: True)
        with self.assertRaises(gateway.LostAnswerError):
            await connection.exchange(request, lambda _: True)
        pool.release(connection)
        pool.close()


class ClosingTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        """Listens; the kernel accepts connections that nothing reads yet."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.pool = gateway.create_server_pool(
            base.create_clock(), f"127.0.0.1:{port}", 4
        )
        self.connection = await self.pool.acquire(1_000.0)
        self.server, _ = self.listener.accept()
        self.addCleanup(self.server.close)
        self.server.settimeout(5.0)

    async def test_request_that_was_given_up_is_not_delivered_later(
        self,
    ) -> None:
        # Else it runs once a cut ends, when another attempt has its place.
        request = b"x" * _SENT_BYTES
        call = asyncio.ensure_future(
            self.connection.exchange(request, lambda _: True)
        )
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.connection.close()
        await asyncio.sleep(0.05)
        received = 0
        with self.assertRaises(ConnectionResetError):
            while piece := self.server.recv(_SENT_BYTES):
                received += len(piece)
        self.assertLess(received, _SENT_BYTES)

    async def test_connection_with_an_answer_ends_without_reset(self) -> None:
        call = asyncio.ensure_future(
            self.connection.exchange(_REQUEST, lambda _: True)
        )
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.recv(1_000), _REQUEST)
        self.server.sendall(_OK + b"Content-Length: 0\r\n\r\n")
        await call
        self.pool.release(self.connection)
        self.pool.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.recv(1), b"")


class ServerPoolTest(unittest.IsolatedAsyncioTestCase):

    async def test_connection_released_after_close_is_closed(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = gateway.create_server_pool(
            base.create_clock(), f"127.0.0.1:{port}", 4
        )
        connection = await pool.acquire(1_000.0)
        pool.close()
        pool.release(connection)
        listener.close()
        self.assertEqual(pool.open_count, 0)
        self.assertFalse(connection.is_reusable)


if __name__ == "__main__":
    unittest.main()
