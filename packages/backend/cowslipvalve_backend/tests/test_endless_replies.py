"""Tests of servers whose replies have no end."""

import asyncio
import functools
import resource
import time
import unittest

import cowslipvalve_backend as backend
import cowslipvalve_model as model
from cowslipvalve_standins import _endlessservers

_TIMEOUT_MS = 5_000.0
_SOUND_TIMEOUT_MS = 60_000.0
_INFORMATIONAL = "informational responses"
_HINTS = b"HTTP/1.1 103 Early Hints\r\n\r\n"
_LIMITS = model.AnswerLimits()
# The parsers' buffers, and copies of the replies as they are joined.
_OVERHEAD_BYTES = 2 * _LIMITS.max_total_bytes
# A host that answers no heartbeat for so long gets no more requests.
_HEARTBEAT_DEAD_S = 0.9


async def _query(
    client: backend.ServerClient, timeout_ms: float = _TIMEOUT_MS
) -> None:
    await client.query(model.ServerBatch(()), timeout_ms)


async def _serve_reply(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    informational: int = 0,
) -> None:
    body = model.encode(model.ServerReply("boot", ()))
    head = _HINTS * informational
    head += b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()


def _measure_peak_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024


class EndlessReplyTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        listener = await asyncio.start_server(_serve_reply, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.sound = backend.create_server_client("i-1", f"127.0.0.1:{port}", 1)
        self.addAsyncCleanup(self.sound.close)

    async def test_replies_without_end_do_not_fill_the_memory(self) -> None:
        for name in ("body without length", "chunked body"):
            with self.subTest(name):
                before_bytes = _measure_peak_bytes()
                await self._measure_beside(name)
                grown_bytes = _measure_peak_bytes() - before_bytes
                self.assertLess(
                    grown_bytes, _LIMITS.max_total_bytes + _OVERHEAD_BYTES
                )

    async def test_replies_without_end_do_not_hold_up_other_servers(
        self,
    ) -> None:
        for name in sorted(_endlessservers.ENDLESS.keys() - {_INFORMATIONAL}):
            with self.subTest(name):
                worst_s = await self._measure_beside(name)
                self.assertLess(worst_s, _HEARTBEAT_DEAD_S)

    async def test_informational_responses_do_not_hold_up_other_servers(
        self,
    ) -> None:
        worst_s = await self._measure_beside(_INFORMATIONAL)
        self.assertLess(worst_s, _HEARTBEAT_DEAD_S)

    async def test_few_informational_responses_are_read(self) -> None:
        listener = await asyncio.start_server(
            functools.partial(_serve_reply, informational=10), "127.0.0.1", 0
        )
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        client = backend.create_server_client("i-1", f"127.0.0.1:{port}", 1)
        self.addAsyncCleanup(client.close)
        for _ in range(3):
            await _query(client)
        self.assertEqual(client.connections_opened, 1)

    async def test_informational_responses_without_end_are_no_answer(
        self,
    ) -> None:
        server = _endlessservers.start_endless_server(
            self, *_endlessservers.ENDLESS[_INFORMATIONAL]
        )
        client = backend.create_server_client("i-0", server.address, 1)
        self.addAsyncCleanup(client.close)
        with self.assertRaisesRegex(
            model.UnknownOutcomeError, "informational responses"
        ):
            await _query(client)

    async def _measure_beside(self, name: str) -> float:
        """Returns the longest exchange beside replies without end, in s.

        Counts the processor time of the event loop's thread, as other threads
        send the replies and other processes may keep the machine busy.
        """
        server = _endlessservers.start_endless_server(
            self, *_endlessservers.ENDLESS[name]
        )
        client = backend.create_server_client(
            "i-0", server.address, _endlessservers.CONNECTIONS
        )
        calls = [
            asyncio.create_task(_query(client))
            for _ in range(_endlessservers.CONNECTIONS)
        ]
        try:
            worst_s = await self._measure_during(calls)
        finally:
            results = await asyncio.gather(*calls, return_exceptions=True)
            await client.close()
            server.close()
        for result in results:
            self.assertIsInstance(result, model.CowslipvalveError)
        return worst_s

    async def _measure_during(self, calls: list[asyncio.Task[None]]) -> float:
        worst_s = 0.0
        while not all(call.done() for call in calls):
            started_s = time.thread_time()
            await _query(self.sound, _SOUND_TIMEOUT_MS)
            worst_s = max(worst_s, time.thread_time() - started_s)
            await asyncio.sleep(0.02)
        return worst_s

    async def test_reply_that_is_too_large_has_an_unknown_outcome(self) -> None:
        server = _endlessservers.start_endless_server(
            self, *_endlessservers.ENDLESS["body without length"]
        )
        memory = model.create_answer_memory(
            model.AnswerLimits(max_answer_bytes=100_000)
        )
        client = backend.create_server_client("i-0", server.address, 1, memory)
        self.addAsyncCleanup(client.close)
        with self.assertRaisesRegex(
            model.UnknownOutcomeError, "exceeds 100000 bytes"
        ):
            await _query(client)
        self.assertEqual(memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
