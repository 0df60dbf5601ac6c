"""Tests of replies whose status is no HTTP status."""

import asyncio
import unittest

import cowslipvalve_backend as backend
import cowslipvalve_model as model

_TIMEOUT_MS = 2_000.0


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):

    async def check(self, status: str) -> None:
        """Checks that a whole reply with this status is taken for no reply."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            body = model.encode(model.ServerReply("boot", ()))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 {status} X\r\n".encode())
            writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        client = backend.create_server_client("i-1", f"127.0.0.1:{port}", 1)
        self.addAsyncCleanup(client.close)
        with self.assertRaises(model.UnknownOutcomeError):
            await client.query(model.ServerBatch(()), _TIMEOUT_MS)

    async def test_reply_with_status_out_of_range_is_no_reply(self) -> None:
        for status in ("000", "099", "600", "999"):
            with self.subTest(status):
                await self.check(status)


if __name__ == "__main__":
    unittest.main()
