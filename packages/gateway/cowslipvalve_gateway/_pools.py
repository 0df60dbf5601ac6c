"""The kept connections to one backend server."""

import asyncio
import collections
import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _connections
from cowslipvalve_gateway import _errors

_IDLE_MARGIN_S = 0.5  # The server may close up to a round trip earlier.
# Servers that name no timeout were seen to keep 15 s.
_DEFAULT_IDLE_TIMEOUT_S = 10.0
# Servers count the connections of hosts that lost power for as long as they
# would idle; the rest of the limit is what those hosts start again with.
_MAX_IDLE_SHARE = 0.5
_CONNECT_TIMEOUT_MS = 1_000.0  # A SYN that was dropped is sent again after 1 s.

_logger = logging.getLogger(__name__)


class ServerPool:
    """Opens, keeps and bounds the connections to one server.

    Attributes:
      max_connections: The most connections, 0 once the server is gone.
      connect_ms: The shortest time that it took to connect, if any did.
      is_prepared: Whether a first connection was opened ahead of requests.
    """

    def __init__(
        self, clock: base.Clock, address: str, max_connections: int
    ) -> None:
        self._clock = clock
        self._address = address
        self.max_connections = max_connections
        self.connect_ms = float("inf")
        self.is_prepared = False
        self._open = 0
        self._idle: list[tuple[float, _connections.ServerConnection]] = []
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def open_count(self) -> int:
        """Returns the number of connections, idle and busy."""
        return self._open

    @property
    def is_full(self) -> bool:
        """Whether a request would have to wait for a connection."""
        return not self._idle and self._open >= self.max_connections

    async def acquire(
        self, timeout_ms: float, must_be_new: bool = False
    ) -> _connections.ServerConnection:
        """Returns a connection that nobody else uses.

        Args:
          timeout_ms: The longest time to wait until a connection is free.
          must_be_new: Whether it must be a new one, which the server cannot be
            about to close.

        Raises:
          PoolBusyError: All connections were in use for the whole time.
          UnsentError: The server cannot be connected to.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        while True:
            kept = None if must_be_new else self._take_idle()
            if kept is not None:
                return kept
            if self._open >= self.max_connections and self._idle:
                self._discard(self._idle.pop(0)[1])
            if self._open < self.max_connections:
                return await self._connect()
            await self._wait_for_release(end_ms - self._clock.now_ms())

    async def prepare(self) -> None:
        """Opens a first connection, so that no request has to wait for it."""
        self.is_prepared = True
        if self._open or not self.max_connections:
            return
        try:
            self.release(await self._connect())
        except _errors.UnsentError as error:
            base.log_event(
                _logger, "not-prepared", server=self._address, error=error
            )

    def release(self, connection: _connections.ServerConnection) -> None:
        """Takes a connection back; it is closed unless it can be reused."""
        kept = max(1, int(self.max_connections * _MAX_IDLE_SHARE))
        if not connection.is_reusable or len(self._idle) >= kept:
            self._discard(connection)
        else:
            idle_s = connection.idle_timeout_s or _DEFAULT_IDLE_TIMEOUT_S
            margin_s = min(_IDLE_MARGIN_S, idle_s / 2)
            end_ms = self._clock.now_ms() + (idle_s - margin_s) * 1_000.0
            self._idle.append((end_ms, connection))
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                break

    def close(self) -> None:
        """Closes the idle connections; busy ones close when released."""
        self.max_connections = 0
        while self._idle:
            self._discard(self._idle.pop()[1])

    def _take_idle(self) -> _connections.ServerConnection | None:
        now_ms = self._clock.now_ms()
        while self._idle:
            end_ms, connection = self._idle.pop()
            if connection.is_reusable and now_ms < end_ms:
                return connection
            self._discard(connection)
        return None

    async def _connect(self) -> _connections.ServerConnection:
        host, port = base.split_address(self._address)
        loop = asyncio.get_running_loop()
        started_ms = self._clock.now_ms()
        self._open += 1
        try:
            async with asyncio.timeout(base.to_seconds(_CONNECT_TIMEOUT_MS)):
                _, connection = await loop.create_connection(
                    lambda: _connections.ServerConnection(self._address),
                    host,
                    port,
                )
        except OSError as error:  # A timeout is one, too.
            self._open -= 1
            raise _errors.UnsentError(
                f"cannot connect: {error!r}", step="connect", peer=self._address
            ) from error
        except BaseException:
            self._open -= 1
            raise
        took_ms = self._clock.now_ms() - started_ms
        self.connect_ms = min(self.connect_ms, took_ms)
        return connection

    async def _wait_for_release(self, timeout_ms: float) -> None:
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                await waiter
        except TimeoutError as error:
            raise _errors.PoolBusyError(
                "all connections are in use",
                step="connect",
                peer=self._address,
            ) from error

    def _discard(self, connection: _connections.ServerConnection) -> None:
        connection.close()
        self._open -= 1


def create_server_pool(
    clock: base.Clock, address: str, max_connections: int
) -> ServerPool:
    """Returns the pool of one server, without open connections."""
    return ServerPool(clock, address, max_connections)
