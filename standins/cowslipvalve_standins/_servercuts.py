"""Cuts between hosts of the test's process and backend servers.

A cut host still reaches the store, other hosts and its callers.
"""

import asyncio
import contextlib
import contextvars
import enum
import errno
import socket
from collections.abc import Collection, Iterator
from typing import Any
from unittest import mock

import attrs

# The host that the current task belongs to, empty in the test itself.
_CURRENT_HOST = contextvars.ContextVar("_CURRENT_HOST", default="")


class NewConnections(enum.Enum):
    """What becomes of connections that are opened during a cut."""

    PASS = enum.auto()
    HANG = enum.auto()
    REFUSE = enum.auto()


@attrs.frozen(kw_only=True)
class CutMode:
    """What a cut does to the connections of a host."""

    new_connections: NewConnections
    # Whether bytes to servers are held back on open connections.
    blocks_requests: bool = False
    # Whether bytes from servers are held back on open connections.
    blocks_answers: bool = False
    # Whether open connections are reset as the cut begins.
    resets_open: bool = False


SILENT = CutMode(
    new_connections=NewConnections.HANG,
    blocks_requests=True,
    blocks_answers=True,
)
# Packets pass one way only, so that no connection can be opened.
SILENT_TO_SERVERS = CutMode(
    new_connections=NewConnections.HANG, blocks_requests=True
)
SILENT_FROM_SERVERS = CutMode(
    new_connections=NewConnections.HANG, blocks_answers=True
)
REFUSING = CutMode(
    new_connections=NewConnections.REFUSE,
    blocks_requests=True,
    blocks_answers=True,
)
RESETTING = CutMode(new_connections=NewConnections.REFUSE, resets_open=True)
# Open connections live on.
REFUSING_NEW = CutMode(new_connections=NewConnections.REFUSE)
HANGING_NEW = CutMode(new_connections=NewConnections.HANG)

_SOUND = CutMode(new_connections=NewConnections.PASS)


@attrs.frozen(kw_only=True)
class _Cut:
    mode: CutMode
    # The addresses of the servers, None for all.
    servers: frozenset[str] | None

    def find_mode(self, server: str) -> CutMode:
        is_cut = self.servers is None or server in self.servers
        return self.mode if is_cut else _SOUND


class ServerCuts:
    """Cuts hosts from servers.

    As with TCP, bytes that a cut holds back arrive once it ends, connections
    that were being opened are opened then, and a server learns then that a
    connection was closed.
    """

    def __init__(self) -> None:
        self._servers: set[str] = set()
        self._cuts: dict[str, _Cut] = {}
        self._links: set[_Link] = set()
        self._changed = asyncio.Event()

    def add_server(self, address: str) -> None:
        """Makes connections to an address subject to cuts."""
        self._servers.add(address)

    def cut(
        self,
        host_name: str,
        mode: CutMode,
        servers: Collection[str] | None = None,
    ) -> None:
        """Cuts a host; replaces an earlier cut of the host.

        Args:
          host_name: The name of the host.
          mode: What becomes of the host's connections.
          servers: The addresses of the servers, None for all servers, also
            those that start later.
        """
        addresses = None if servers is None else frozenset(servers)
        self._cuts[host_name] = _Cut(mode=mode, servers=addresses)
        self._apply()

    def heal(self, host_name: str) -> None:
        """Ends the cut of a host."""
        self._cuts.pop(host_name, None)
        self._apply()

    @contextlib.contextmanager
    def attribute_to(self, host_name: str) -> Iterator[None]:
        """Attributes tasks and listeners that are started to a host."""
        token = _CURRENT_HOST.set(host_name)
        try:
            yield
        finally:
            _CURRENT_HOST.reset(token)

    @contextlib.contextmanager
    def install(self) -> Iterator[None]:
        """Makes connections of the running loop subject to cuts."""
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(
            factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
            name, server = _CURRENT_HOST.get(), f"{host}:{port}"
            if not name or server not in self._servers:
                return await connect(factory, host, port, **options)
            await self._admit(name, server)
            link = _Link(factory(), name, server, self._links)
            await connect(lambda: link, host, port, **options)
            link.apply(self._find_mode(name, server))
            return link.transport, link.protocol

        with mock.patch.object(loop, "create_connection", create_connection):
            yield

    def _find_mode(self, host_name: str, server: str) -> CutMode:
        cut = self._cuts.get(host_name)
        return cut.find_mode(server) if cut else _SOUND

    async def _admit(self, host_name: str, server: str) -> None:
        """Waits while connections hang.

        Raises:
          ConnectionRefusedError: Connections are refused.
        """
        while True:
            state = self._find_mode(host_name, server).new_connections
            if state is NewConnections.PASS:
                return
            if state is NewConnections.REFUSE:
                raise ConnectionRefusedError(
                    errno.ECONNREFUSED, f"{host_name} is cut from {server}"
                )
            await self._changed.wait()

    def _apply(self) -> None:
        for link in list(self._links):
            link.apply(self._find_mode(link.host_name, link.server))
        self._changed.set()
        self._changed = asyncio.Event()


class _Link(asyncio.Protocol):
    """Stands between a connection's socket and its protocol.

    Attributes:
      host_name: The host that opened the connection.
      server: The address of the server.
      protocol: The protocol of the host.
      transport: The transport that the protocol sees.
    """

    def __init__(
        self,
        protocol: asyncio.Protocol | asyncio.BufferedProtocol,
        host_name: str,
        server: str,
        links: set["_Link"],
    ) -> None:
        self.protocol = protocol
        self.host_name = host_name
        self.server = server
        self.transport = _LinkTransport(self)
        self._links = links
        self._mode = _SOUND
        self._loop = asyncio.get_running_loop()
        self._socket_transport: asyncio.Transport | None = None
        self._held_requests = bytearray()
        self._held_answers = bytearray()
        # Whether the host has closed the connection.
        self.is_closed = False
        self._is_lost = False
        self._drops_at_close = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._socket_transport = transport
        self._links.add(self)
        self.protocol.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        if self._mode.blocks_answers:
            self._held_answers += data
        elif not self.is_closed:
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        """Passes bytes on to the protocol, by its buffer if it has one."""
        if not isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.data_received(data)
            return
        remaining = memoryview(data)
        while remaining and not self.is_closed:
            buffer = memoryview(self.protocol.get_buffer(len(remaining)))
            count = min(len(buffer), len(remaining))
            buffer[:count] = remaining[:count]
            self.protocol.buffer_updated(count)
            remaining = remaining[count:]

    def connection_lost(self, exc: Exception | None) -> None:
        self._links.discard(self)
        if self._mode.blocks_answers and not self.is_closed:
            # The host learns it once the cut ends.
            self._links.add(self)
            self._socket_transport = None
            return
        self._lose(exc)

    def apply(self, mode: CutMode) -> None:
        """Puts a cut, or its end, into force."""
        self._mode = mode
        if mode.resets_open:
            self._reset()
            return
        if not mode.blocks_requests and self._socket_transport:
            self._socket_transport.write(bytes(self._held_requests))
            self._held_requests.clear()
            if self.is_closed:
                self._socket_transport.abort()
        if mode.blocks_answers or self.is_closed:
            return
        answers = bytes(self._held_answers)
        self._held_answers.clear()
        if answers:
            self._deliver(answers)
        if self._socket_transport is None:
            self._links.discard(self)
            self._lose(None)

    def write(self, data: bytes) -> None:
        """Sends bytes of the host, or holds them back."""
        if self._mode.blocks_requests:
            self._held_requests += data
        elif self._socket_transport is not None:
            self._socket_transport.write(data)

    def close(self) -> None:
        """Closes the connection for the host, and for the server if it may."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._drops_at_close:
            self._held_requests.clear()
        if self._socket_transport is None:
            self._links.discard(self)
        elif not self._mode.blocks_requests:
            self._socket_transport.abort()
        self._loop.call_soon(self._lose, None)

    def set_socket_option(self, level: int, option: int, value: bytes) -> None:
        """Sets an option of the socket; with SO_LINGER, close drops bytes."""
        if option == socket.SO_LINGER:
            self._drops_at_close = True
        if self._socket_transport is not None:
            self._socket_transport.get_extra_info("socket").setsockopt(
                level, option, value
            )

    def _reset(self) -> None:
        self.is_closed = True
        if self._socket_transport is not None:
            self._socket_transport.abort()
        self._links.discard(self)
        self._loop.call_soon(
            self._lose, ConnectionResetError(errno.ECONNRESET, "cut")
        )

    def _lose(self, exc: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self.is_closed = True
            self.protocol.connection_lost(exc)


@attrs.frozen
class _LinkSocket:
    """What the protocol of a host sees of the socket."""

    _link: _Link

    def setsockopt(self, level: int, option: int, value: bytes) -> None:
        """Sets an option as socket.setsockopt does."""
        self._link.set_socket_option(level, option, value)


class _LinkTransport(asyncio.Transport):
    """The transport that the protocol of a host sees."""

    def __init__(self, link: _Link) -> None:
        super().__init__()
        self._link = link

    def write(self, data: Any) -> None:
        self._link.write(bytes(data))

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _LinkSocket(self._link) if name == "socket" else default

    def is_closing(self) -> bool:
        return self._link.is_closed

    def close(self) -> None:
        self._link.close()

    def abort(self) -> None:
        self._link.close()


def create_server_cuts() -> ServerCuts:
    """Creates cuts that cut no host yet."""
    return ServerCuts()
