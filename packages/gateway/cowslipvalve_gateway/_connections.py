"""An HTTP/1.1 client connection to a backend server."""

import asyncio
import socket
import struct
from collections.abc import Callable

import attrs
import httptools

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _errors

_FIRST_FINAL_STATUS = 200
_HEADER_OVERHEAD_BYTES = 4  # ": " and CRLF.
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Bounds the time that one connection takes of a turn of the event loop: some
# bytes of a server may be a header or a chunk each.
_READ_BYTES = 16_384
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # On, for 0 s; see socket(7).


# asyncio fills it and lets the connection parse it in one step, so that all
# connections can share it.
_read_buffer = bytearray(_READ_BYTES)


class _StopParsingError(Exception):
    """Ends the parsing of received bytes, as the exchange has ended."""


@attrs.frozen(kw_only=True)
class RawAnswer:
    """A complete HTTP response."""

    # The HTTP status.
    status: int
    # The headers as received, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    # The body with the transfer encoding removed.
    body: bytes

    def header(self, name: bytes) -> str:
        """Returns the first value of a header, empty if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


class ServerConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads its answer.

    aiohttp's client is not used because it reuses a pooled connection without
    checking for bytes that arrived while the connection was idle, and because
    it resends a GET whose connection was closed. The former can return the
    answer of another request and the latter can run a request twice. This
    class uses the httptools parser instead.

    Attributes:
      idle_timeout_s: How long the server keeps the connection open while idle,
        None if the server did not say.
    """

    def __init__(
        self, peer: str, memory: base.AnswerMemory | None = None
    ) -> None:
        self._peer = peer
        self._memory = memory or base.create_answer_memory()
        # Of the current exchange.
        self._received_bytes = 0
        # How many of them precede the head that is being received.
        self._head_start = 0
        self._head_bytes = 0
        self._informational_count = 0
        self._unexpected_count = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[RawAnswer] | None = None
        self._is_expected: Callable[[RawAnswer], bool] = lambda _: True
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._is_head_complete = False
        self._is_self_delimiting = False
        self._is_unusable = False
        # Whether a request was written whose answer has not been received.
        self._is_unanswered = False
        self.idle_timeout_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open, idle and fit for another request."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return not self._is_unusable and self._waiter is None

    async def exchange(
        self, request: bytes, is_expected: Callable[[RawAnswer], bool]
    ) -> RawAnswer:
        """Sends a request and returns its answer.

        An answer that is_expected refuses, such as a late answer to an earlier
        request, is skipped; the connection is not reused afterwards.

        Raises:
          UnsentError: The connection was closed before the request was sent.
          LostAnswerError: No complete answer was received.
        """
        if not self.is_reusable or self._transport is None:
            raise _errors.UnsentError(
                "the connection was closed before the request was sent",
                step="send",
                peer=self._peer,
            )
        self._is_expected = is_expected
        self._head_start = 0
        self._head_bytes = 0
        self._informational_count = 0
        self._unexpected_count = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self._is_unanswered = True
        self._transport.write(request)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            self._release_memory()

    def close(self) -> None:
        """Aborts the connection, which tells the server to stop its work.

        A request that waits for a lost link is not delivered later.
        """
        self._is_unusable = True
        if self._transport is None:
            return
        if self._is_unanswered:
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._transport.abort()

    def cut(self) -> None:
        """Ends the exchange and closes the connection: its link is lost."""
        self._fail("the link to the server is lost", _errors.LinkLostError)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next bytes."""
        del sizehint
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes; closes if no request is waiting for them."""
        if not self._is_waiting:
            self.close()
            return
        self._received_bytes += nbytes
        is_allowed = self._memory.try_take(nbytes)
        limits = self._memory.limits
        if self._received_bytes > limits.max_answer_bytes:
            self._fail_and_close(
                f"the answer exceeds {limits.max_answer_bytes} bytes"
            )
            return
        if not is_allowed and self._received_bytes > limits.guaranteed_bytes:
            self._fail_and_close(
                "all answers in progress exceed"
                f" {limits.max_total_bytes} bytes; this one has"
                f" {self._received_bytes}"
            )
            return
        self._parse(memoryview(_read_buffer)[:nbytes])

    def _parse(self, data: memoryview) -> None:
        try:
            self._parser.feed_data(data)
            if not self._is_head_complete:
                # The parser keeps an incomplete header by itself.
                self._check_head(self._received_bytes - self._head_start)
        except _StopParsingError:
            return
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # An exchange that a callback has ended stays as it is.
            self._fail_and_close(f"the answer is not valid HTTP: {error}")

    def _check_head(self, head_bytes: int) -> None:
        limit = self._memory.limits.max_head_bytes
        if head_bytes > limit and self._is_waiting:
            self._stop(f"the head of the answer exceeds {limit} bytes")

    def _stop(self, message: str) -> None:
        """Fails the exchange and ends the parsing of what was received.

        Raises:
          _StopParsingError: Always.
        """
        self._fail_and_close(message)
        raise _StopParsingError

    @property
    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _fail_and_close(self, message: str) -> None:
        self._fail(message)
        self.close()
        # At once, so that answers which arrive now are not lost too.
        self._release_memory()

    def _release_memory(self) -> None:
        self._memory.release(self._received_bytes)
        self._received_bytes = 0
        self._headers = []
        self._body = bytearray()

    def connection_lost(self, exc: Exception | None) -> None:
        """Completes an answer that ends with the connection, or fails it."""
        self._is_unusable = True
        self._transport = None
        if (
            exc is None
            and self._is_head_complete
            and not self._is_self_delimiting
        ):
            self._finish()
        else:
            self._fail(
                f"the connection was lost: {exc!r}",
                _errors.BrokenConnectionError,
            )

    def on_message_begin(self) -> None:
        """Resets the parsed answer; an unrequested one ends the connection.

        Raises:
          _StopParsingError: No request waits for the answer.
        """
        if not self._is_waiting:
            self.close()
            raise _StopParsingError
        self._headers = []
        self._body = bytearray()
        self._is_head_complete = False
        self._is_self_delimiting = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header, or a trailer of a chunked body."""
        self._head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        self._check_head(self._head_bytes)
        key = name.lower()
        self._headers.append((key, value))
        limit = self._memory.limits.max_headers
        if len(self._headers) > limit and self._is_waiting:
            self._stop(f"the answer has more than {limit} headers")
        if key in _FRAMING_HEADERS:
            self._is_self_delimiting = True

    def on_headers_complete(self) -> None:
        """Records that the headers are complete.

        Raises:
          _StopParsingError: The status is no HTTP status.
        """
        status = self._parser.get_status_code()
        if status not in _calls.HTTP_STATUSES:
            self._stop(f"{status:03d} is no HTTP status")
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Collects a chunk of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Completes the answer unless its status is informational (1xx)."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            # Not an answer, even if the connection ends now.
            self._is_head_complete = False
            self._informational_count += 1
            limit = self._memory.limits.max_informational
            if self._informational_count > limit:
                self._stop(f"more than {limit} informational responses")
            return
        if not self._parser.should_keep_alive():
            self._is_unusable = True
        self._finish()

    def _finish(self) -> None:
        if self._waiter is None or self._waiter.done():
            self._is_unusable = True
            return
        answer = RawAnswer(
            status=self._parser.get_status_code(),
            headers=tuple(self._headers),
            body=bytes(self._body),
        )
        self._is_head_complete = False
        self._head_start = self._received_bytes
        self._head_bytes = 0
        if self._is_expected(answer):
            self._is_unanswered = False
            self._waiter.set_result(answer)
        elif self._transport is None:
            self._fail("the only answer received belongs to another request")
        else:
            self._is_unusable = True
            self._unexpected_count += 1
            limit = self._memory.limits.max_unexpected
            if self._unexpected_count > limit:
                self._stop(f"more than {limit} answers to other requests")

    def _fail(
        self,
        message: str,
        kind: type[_errors.LostAnswerError] = _errors.LostAnswerError,
    ) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                kind(message, step="read", peer=self._peer)
            )
