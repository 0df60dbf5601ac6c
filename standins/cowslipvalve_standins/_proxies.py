"""A TCP proxy on the loopback interface that injects network faults."""

import asyncio

import attrs

import cowslipvalve_base as base

_CHUNK_BYTES = 65_536


@attrs.frozen(kw_only=True)
class LinkFault:
    """A fault of the link between a client and a server."""

    # The delay of each chunk in ms.
    delay_ms: float = 0.0
    # Whether bytes to the server are held back; connections stay open.
    blocks_requests: bool = False
    # Whether bytes from the server are held back; connections stay open.
    blocks_answers: bool = False
    # Whether new connections are reset.
    resets_new_connections: bool = False


class Proxy:
    """Forwards bytes between clients and a server.

    Bytes that a fault holds back are forwarded once the fault ends, as TCP
    does by retransmission.

    Attributes:
      address: The address that the proxy listens on, empty before the start.
    """

    def __init__(self, target: str) -> None:
        self._target = base.split_address(target)
        self._fault = LinkFault()
        self._fault_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def set_fault(self, fault: LinkFault) -> None:
        """Replaces the fault, for open connections too."""
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault.resets_new_connections:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:  # The client sees a failure, as without a proxy.
            writer.transport.abort()
            return
        writers = {writer, server_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, to_server=True),
                self._forward(server_reader, writer, to_server=False),
            )
        finally:
            self._writers -= writers
            for each_writer in writers:
                each_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_server: bool,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(base.to_seconds(self._fault.delay_ms))
                while self._is_blocked(to_server):
                    await self._fault_changed.wait()
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:  # One side is closed, so the other is closed, too.
            writer.transport.abort()

    def _is_blocked(self, to_server: bool) -> bool:
        return (
            self._fault.blocks_requests
            if to_server
            else self._fault.blocks_answers
        )


async def start_proxy(target: str) -> Proxy:
    """Starts a proxy in front of the target address and returns it."""
    proxy = Proxy(target)
    await proxy.start()
    return proxy
