"""Connections to a server, on which few informational responses are read."""

import asyncio
import functools
import socket

import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from aiohttp import streams

import cowslipvalve_model as model

_KEEP_ALIVE_S = 30
# What has arrived on a connection is parsed in one turn of the event loop, so
# that many servers that send without end would hold up all others.
_RECEIVE_BUFFER_BYTES = 16_384
# Servers send none or a few; aiohttp itself reads them without limit.
_MAX_INFORMATIONAL = 16
# What is parsed before the limit is checked.
_PIECE_BYTES = 2_048
_FIRST_FINAL_STATUS = 200


class EndlessResponsesError(model.CowslipvalveError):
    """A server sends informational responses (1xx) in place of an answer."""


class _Connection(client_proto.ResponseHandler):
    """Closes if its server sends too many informational responses."""

    def __init__(self, loop: asyncio.AbstractEventLoop, peer: str) -> None:
        super().__init__(loop)
        self._peer = peer
        self._informational = 0

    def data_received(self, data: bytes) -> None:
        """Parses bytes until the limit is exceeded."""
        super().data_received(data[:_PIECE_BYTES])
        for start in range(_PIECE_BYTES, len(data), _PIECE_BYTES):
            if self._informational > _MAX_INFORMATIONAL:
                return
            super().data_received(data[start : start + _PIECE_BYTES])

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Takes a response, and counts informational ones before an answer."""
        is_final = data[0].code >= _FIRST_FINAL_STATUS
        self._informational = 0 if is_final else self._informational + 1
        if self._informational <= _MAX_INFORMATIONAL:
            super().feed_data(data, size)
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            self.set_exception(
                EndlessResponsesError(
                    f"over {_MAX_INFORMATIONAL} informational responses",
                    step="read-reply",
                    peer=self._peer,
                )
            )


def _create_socket(address_info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that receives little at once."""
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    return created


class _Connector(aiohttp.TCPConnector):

    def __init__(self, peer: str, max_connections: int) -> None:
        super().__init__(
            limit=max_connections,
            keepalive_timeout=_KEEP_ALIVE_S,
            socket_factory=_create_socket,
        )
        self._peer = peer
        # The one way in which aiohttp lets a protocol be replaced.
        self._factory = functools.partial(self._create_protocol)

    def _create_protocol(self) -> client_proto.ResponseHandler:
        return _Connection(loop=self._loop, peer=self._peer)


def create_connector(peer: str, max_connections: int) -> aiohttp.TCPConnector:
    """Creates the connector of a client of one server.

    Its connections fail with an EndlessResponsesError if the server sends too
    many informational responses in place of an answer.

    Args:
      peer: The name of the server.
      max_connections: The most connections that are open at a time.
    """
    return _Connector(peer, max_connections)
