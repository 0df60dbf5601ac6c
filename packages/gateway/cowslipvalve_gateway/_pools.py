"""The connection pool of one backend server."""

import asyncio
import collections
import errno
import functools
import logging
import math

import cowslipvalve_base as base
from cowslipvalve_gateway import _connections
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _links

# The server's idle timer may expire up to a round trip earlier.
_IDLE_MARGIN_S = 0.5
# Servers that state no idle timeout have kept connections for 15 s.
_DEFAULT_IDLE_TIMEOUT_S = 10.0
# A server counts the connections of a host that lost power until their idle
# timeout. The rest of the limit lets that host connect again after a restart.
_MAX_IDLE_SHARE = 0.5
_CONNECT_TIMEOUT_MS = 1_000.0  # A dropped SYN is sent again after 1 s.
# A probe that ends this late was held up by this process.
_MAX_PROBE_LAG_MS = 50.0
# Other errors of connects are this host's own.
_LINK_ERRORS = frozenset(
    {
        errno.ECONNREFUSED,
        errno.ECONNRESET,
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EPIPE,
        errno.ETIMEDOUT,
    }
)

_logger = logging.getLogger(__name__)


class ServerPool:
    """Opens, reuses and limits the connections to one server.

    Attributes:
      address: The address of the server.
      max_connections: The maximum number of connections; 0 once the server is
        removed.
      keeps_idle: Whether unused connections stay open. They must not if a
        host's share of the server's limit is below one connection.
      connect_ms: The shortest connect time, infinite before the first connect.
      is_prepared: Whether prepare has been called.
    """

    def __init__(
        self,
        clock: base.Clock,
        address: str,
        max_connections: int,
        memory: base.AnswerMemory,
        link: _links.Link,
    ) -> None:
        self._clock = clock
        self._link = link
        self.address = address
        self._memory = memory
        self.max_connections = max_connections
        self.keeps_idle = True
        self.connect_ms = float("inf")
        self.is_prepared = False
        self._open = 0
        self._idle: list[tuple[float, _connections.ServerConnection]] = []
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def open_count(self) -> int:
        """The number of open connections, idle and busy."""
        return self._open

    @property
    def is_full(self) -> bool:
        """Whether a request would have to wait for a connection."""
        return not self._idle and self._open >= self.max_connections

    async def acquire(
        self, timeout_ms: float, must_be_new: bool = False
    ) -> _connections.ServerConnection:
        """Returns a connection for exclusive use until its release.

        Args:
          timeout_ms: The longest time to wait for a free connection.
          must_be_new: Whether to open a new connection, because the server
            may be about to close an idle one.

        Raises:
          PoolBusyError: All connections stayed in use until the timeout.
          UnsentError: The connection to the server failed.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        while True:
            idle = None if must_be_new else self._take_idle()
            if idle is not None:
                return idle
            if self._open >= self.max_connections and self._idle:
                self._discard(self._idle.pop(0)[1])
            if self._open < self.max_connections:
                return await self._connect()
            await self._wait_for_release(end_ms - self._clock.now_ms())

    async def prepare(self) -> None:
        """Opens a first connection, so that the first request need not wait."""
        self.is_prepared = True
        if self._open or not self.max_connections:
            return
        try:
            self.release(await self._connect())
        except _errors.UnsentError as error:
            base.log_event(
                _logger, "not-prepared", server=self.address, error=error
            )

    async def is_refused(self, timeout_ms: float) -> bool:
        """Whether no process accepts connections at the server's address.

        Without an answer that is not known, and taken for no. A connection
        that is accepted is kept for requests.
        """
        if self._open >= self.max_connections:
            return False
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                self.release(await self._connect())
        except TimeoutError:
            return False
        except _errors.UnsentError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        return False

    async def probe(self, timeout_ms: float) -> None:
        """Finds out by a connect whether the server is reached.

        The connection is kept for requests.
        """
        if self._open >= self.max_connections and self._idle:
            self._discard(self._idle.pop(0)[1])
        if self._open >= self.max_connections:
            return
        started_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                self.release(await self._connect(may_be_cut=False))
        except TimeoutError:
            took_ms = self._clock.now_ms() - started_ms
            if took_ms <= timeout_ms + _MAX_PROBE_LAG_MS:
                self._link.record_failure(is_silent=True)
        except _errors.UnsentError as error:
            # The link tells of the failures that matter.
            base.log_event(
                _logger,
                "probe-failed",
                logging.DEBUG,
                server=self.address,
                error=error,
            )

    def release(self, connection: _connections.ServerConnection) -> None:
        """Returns a connection to the pool, or closes it.

        A connection is closed if it cannot be reused or if enough connections
        are idle.
        """
        max_idle = 0
        if self.keeps_idle:
            max_idle = math.ceil(self.max_connections * _MAX_IDLE_SHARE)
        if not connection.is_reusable or len(self._idle) >= max_idle:
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
        """Closes the idle connections and allows no new ones."""
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

    async def _connect(
        self, may_be_cut: bool = True
    ) -> _connections.ServerConnection:
        host, port = base.split_address(self.address)
        loop = asyncio.get_running_loop()
        started_ms = self._clock.now_ms()
        self._open += 1
        timeout = asyncio.timeout(base.to_seconds(_CONNECT_TIMEOUT_MS))
        wait = self._link.start_wait(
            functools.partial(_expire, timeout) if may_be_cut else None,
            is_connect=True,
        )
        try:
            async with timeout:
                _, connection = await loop.create_connection(
                    lambda: _connections.ServerConnection(
                        self.address, self._memory
                    ),
                    host,
                    port,
                )
        # TimeoutError is an OSError; the others are of unusable addresses.
        except (OSError, ValueError, OverflowError) as error:
            self._open -= 1
            self._record_failure(error)
            raise _errors.UnsentError(
                f"cannot connect: {error!r}", step="connect", peer=self.address
            ) from error
        except BaseException:
            self._open -= 1
            raise
        finally:
            self._link.end_wait(wait)
        self._link.record_reach(started_ms, is_connect=True)
        took_ms = self._clock.now_ms() - started_ms
        self.connect_ms = min(self.connect_ms, took_ms)
        return connection

    def _record_failure(self, error: Exception) -> None:
        if isinstance(error, TimeoutError):
            self._link.record_failure(is_silent=True)
        elif isinstance(error, OSError) and error.errno in _LINK_ERRORS:
            self._link.record_failure(is_silent=False)

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
                peer=self.address,
            ) from error

    def _discard(self, connection: _connections.ServerConnection) -> None:
        connection.close()
        self._open -= 1


def _expire(timeout: asyncio.Timeout) -> None:
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


def create_server_pool(
    clock: base.Clock,
    address: str,
    max_connections: int,
    memory: base.AnswerMemory | None = None,
    link: _links.Link | None = None,
) -> ServerPool:
    """Creates an empty pool for one server.

    Args:
      clock: The clock of the process.
      address: The address of the server.
      max_connections: The maximum number of connections.
      memory: Counts the answers that the host receives; None for an own count.
      link: Is told what becomes of connects; None if nobody is.
    """
    return ServerPool(
        clock,
        address,
        max_connections,
        memory or base.create_answer_memory(),
        link or _links.create_unregistered_link(clock, address),
    )
