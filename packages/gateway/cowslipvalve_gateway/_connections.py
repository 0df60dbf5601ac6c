"""A connection to a backend server."""

import asyncio
from collections.abc import Callable

import attrs
import httptools

from cowslipvalve_gateway import _errors

_FIRST_FINAL_STATUS = 200
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@attrs.frozen(kw_only=True)
class RawAnswer:
    """An HTTP answer, complete."""

    # The status.
    status: int
    # The headers in order, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    # The body, without its transfer encoding.
    body: bytes

    def header(self, name: bytes) -> str:
        """Returns the first value of a header, empty if there is none."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


class ServerConnection(asyncio.Protocol):
    """Sends one request at a time and reads its answer.

    aiohttp's client hands out a kept connection without looking for bytes that
    came while it was idle, and repeats a GET whose connection was closed. Both
    break promises to callers, so the connection is kept here, around the
    parser of httptools.
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[RawAnswer] | None = None
        self._is_expected: Callable[[RawAnswer], bool] = lambda _: True
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._is_head_complete = False
        self._is_self_delimiting = False
        self._is_unusable = False
        # How long the server keeps the connection while it is idle.
        self.idle_timeout_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return not self._is_unusable and self._waiter is None

    async def exchange(
        self, request: bytes, is_expected: Callable[[RawAnswer], bool]
    ) -> RawAnswer:
        """Sends a request and returns its answer.

        An answer that is not expected, such as a late one to an earlier
        request, is passed over.

        Raises:
          UnsentError: The connection was closed before the request was sent.
          LostAnswerError: No whole answer came.
        """
        if not self.is_reusable or self._transport is None:
            raise _errors.UnsentError(
                "the connection was closed", step="send", peer=self._peer
            )
        self._is_expected = is_expected
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def close(self) -> None:
        """Closes at once; a server that is still at work notices."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses what the server sent."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f"the answer is not valid HTTP: {error}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends an answer without a length, or reports a lost one."""
        self._is_unusable = True
        self._transport = None
        if (
            exc is None
            and self._is_head_complete
            and not self._is_self_delimiting
        ):
            self._finish()
        else:
            self._fail(f"the connection was lost: {exc!r}")

    def on_message_begin(self) -> None:
        """Resets what was parsed; a second answer spoils the connection."""
        if self._waiter is None or self._waiter.done():
            self._is_unusable = True
        self._headers = []
        self._body = []
        self._is_head_complete = False
        self._is_self_delimiting = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        key = name.lower()
        self._headers.append((key, value))
        if key in _FRAMING_HEADERS:
            self._is_self_delimiting = True

    def on_headers_complete(self) -> None:
        """Notes that the body follows."""
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands over a whole answer."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
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
            body=b"".join(self._body),
        )
        self._is_head_complete = False
        if self._is_expected(answer):
            self._waiter.set_result(answer)
        elif self._transport is None:
            self._fail("the answer belongs to another request")
        else:
            self._is_unusable = True

    def _fail(self, message: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                _errors.LostAnswerError(message, step="read", peer=self._peer)
            )
