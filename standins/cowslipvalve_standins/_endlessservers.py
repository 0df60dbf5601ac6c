"""Servers that send bytes that are no answer, until their peer closes."""

import contextlib
import socket
import threading
import unittest

OK = b"HTTP/1.1 200 OK\r\n"
PIECE = b"x" * 4_096
_CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
_CHUNK = b"1000\r\n" + PIECE + b"\r\n"
# An answer whose id is not the request's.
OTHER_ANSWER = OK + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nok"

# What a server sends first, and what it then repeats.
ENDLESS = {
    "body without length": (OK + b"\r\n", PIECE),
    "chunked body": (_CHUNKED, _CHUNK),
    "tiny chunks": (_CHUNKED, b"1\r\nx\r\n" * 500),
    "chunk extension": (_CHUNKED + b"1;", PIECE),
    "trailers": (_CHUNKED + b"0\r\n", b"a: b\r\n" * 500),
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "one header": (OK + b"Server-Stamp: ", PIECE),
    "many headers": (OK, b"a: b\r\n" * 500),
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "small answers to other requests": (b"", OTHER_ANSWER * 100),
    "answers to other requests": (
        b"",
        OK + b"Request-Id: other\r\nContent-Length: 4096\r\n\r\n" + PIECE,
    ),
}

CONNECTIONS = 64
_CONNECTION_BYTES = 40_000_000


class EndlessServer:
    """Sends bytes to some connections, each in a thread of its own.

    Attributes:
      address: Where the server listens, HOST:PORT.
      sent_bytes: The bytes that were sent on all connections.
    """

    def __init__(self, first: bytes, rest: bytes) -> None:
        self._first = first
        # So large that many heads or chunks arrive at once.
        self._piece = rest * (262_144 // len(rest) + 1)
        self._listening = socket.create_server(
            ("127.0.0.1", 0), backlog=CONNECTIONS
        )
        self.address = f"127.0.0.1:{self._listening.getsockname()[1]}"
        self.sent_bytes = 0

    def start(self) -> None:
        """Starts to accept connections."""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._listening.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for _ in range(CONNECTIONS):
                accepted, _ = self._listening.accept()
                threading.Thread(
                    target=self._send, args=(accepted,), daemon=True
                ).start()

    def _send(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(1_000)
            connection.sendall(self._first)
            for _ in range(_CONNECTION_BYTES // len(self._piece)):
                connection.sendall(self._piece)
                self.sent_bytes += len(self._piece)


def start_endless_server(
    test: unittest.TestCase, first: bytes, rest: bytes
) -> EndlessServer:
    """Starts a server that stops listening when the test ends.

    Args:
      test: The test.
      first: What is sent first on each connection.
      rest: What is then repeated, up to 40 MB a connection.
    """
    server = EndlessServer(first, rest)
    test.addCleanup(server.close)
    server.start()
    return server
