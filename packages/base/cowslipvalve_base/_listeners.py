"""Listening sockets of a host, whose addresses may not be free yet."""

import asyncio
import errno
import logging
import math
import socket
import ssl
from typing import Any

from aiohttp import web

from cowslipvalve_base import _addresses
from cowslipvalve_base import _clock
from cowslipvalve_base import _errors
from cowslipvalve_base import _events

# Linux keeps the port of a closed connection for 60 s. SO_REUSEADDR, which
# asyncio sets, does not help against outgoing connections of other programs.
_MAX_WAIT_MS = 90_000.0
_RETRY_MS = 100.0
_BACKLOG = 512
_SHUTDOWN_TIMEOUT_S = 0.5
# Within this time after a connection is accepted its first request is read:
# a round trip between distant regions, and one retransmission.
_FIRST_REQUEST_MS = 300.0
_SETTLE_POLL_MS = 20.0
# The address is taken, or its interface is not up yet.
_PASSING_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})

_logger = logging.getLogger(__name__)


class AddressError(_errors.CowslipvalveError):
    """An address cannot be listened on."""


class Server(web.Server):
    """An HTTP server that knows when it last accepted a connection."""

    def __init__(
        self, handler: Any, clock: _clock.Clock, **options: Any
    ) -> None:
        super().__init__(handler, handler_cancellation=True, **options)
        self._clock = clock
        self._last_accepted_ms = float("-inf")

    @property
    def is_settled(self) -> bool:
        """Whether no connection may still send its first request."""
        age_ms = self._clock.now_ms() - self._last_accepted_ms
        return not self.connections or age_ms >= _FIRST_REQUEST_MS

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Notes the time."""
        self._last_accepted_ms = self._clock.now_ms()
        super().connection_made(handler, transport)


class Listeners:
    """Opens listening sockets and closes them in reverse order."""

    def __init__(self, clock: _clock.Clock, max_wait_ms: float) -> None:
        self._clock = clock
        self._end_ms = clock.now_ms() + max_wait_ms
        self._runners: list[web.BaseRunner] = []
        self._sockets: list[socket.socket] = []
        self._stopped_ms = math.inf
        self._background: set[asyncio.Task[None]] = set()

    async def open(
        self,
        name: str,
        server: Server | web.Application,
        address: str,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Listens on an address, as soon as it is free.

        Args:
          name: What the address is for.
          server: Handles the connections.
          address: The address, HOST:PORT.
          context: The TLS context, or None without TLS.

        Raises:
          AddressError: The address did not get free in time, or cannot be
            listened on.
        """
        await self._open(name, server, address, self._end_ms, context)

    def open_in_background(
        self, name: str, server: Server, address: str
    ) -> None:
        """Listens on an address whenever it gets free, until close."""
        task = asyncio.create_task(self._open_optional(name, server, address))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def close(self) -> None:
        """Closes all sockets, and waits for no address any more.

        First requests of connections that were just accepted are still
        answered: aiohttp reads and drops those that come during its cleanup.
        """
        tasks = list(self._background)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._stop_accepting()
        is_settled = False
        while not is_settled:
            # Connections are made some turns after they were accepted.
            await self._clock.sleep_ms(_SETTLE_POLL_MS)
            is_settled = all(map(self._is_settled, self._runners))
        while self._runners:
            await self._runners.pop().cleanup()

    def _is_settled(self, runner: web.BaseRunner) -> bool:
        server = runner.server
        if server is None or isinstance(server, Server):
            return server is None or server.is_settled
        stopped_for_ms = self._clock.now_ms() - self._stopped_ms
        return not server.connections or stopped_for_ms >= _FIRST_REQUEST_MS

    async def _stop_accepting(self) -> None:
        loop = asyncio.get_running_loop()
        for listening in self._sockets:
            loop.remove_reader(listening)
        self._stopped_ms = self._clock.now_ms()
        # asyncio forgets connections that it accepted in this turn if their
        # server is closed before the next one.
        await asyncio.sleep(0)
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()

    async def _open(
        self,
        name: str,
        server: Server | web.Application,
        address: str,
        end_ms: float,
        context: ssl.SSLContext | None = None,
    ) -> None:
        runner = _create_runner(server)
        await runner.setup()
        self._runners.append(runner)
        started_ms = self._clock.now_ms()
        is_waiting = False
        while True:
            try:
                self._sockets.append(await _open_once(runner, address, context))
                break
            # A host name that cannot be encoded is a ValueError.
            except (OSError, ValueError) as error:
                is_late = self._clock.now_ms() >= end_ms
                if is_late or not _is_passing(error):
                    raise AddressError(
                        f"cannot listen on {address} ({name}): {error}",
                        step="listen",
                    ) from error
                if not is_waiting:
                    _events.log_event(
                        _logger,
                        "address-awaited",
                        logging.WARNING,
                        name=name,
                        error=error,
                    )
                is_waiting = True
            await self._clock.sleep_ms(_RETRY_MS)
        if is_waiting:
            _events.log_event(
                _logger,
                "address-free",
                name=name,
                waited_ms=round(self._clock.now_ms() - started_ms),
            )

    async def _open_optional(
        self, name: str, server: Server, address: str
    ) -> None:
        try:
            await self._open(name, server, address, float("inf"))
        except AddressError as error:
            _events.log_event(
                _logger, "address-not-usable", logging.ERROR, error=error
            )


def _is_passing(error: OSError | ValueError) -> bool:
    return isinstance(error, OSError) and error.errno in _PASSING_ERRORS


def _create_runner(server: Server | web.Application) -> web.BaseRunner:
    if isinstance(server, web.Application):
        return web.AppRunner(
            server, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
    return web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)


async def _open_once(
    runner: web.BaseRunner, address: str, context: ssl.SSLContext | None
) -> socket.socket:
    listening = socket.create_server(
        _addresses.split_address(address), backlog=_BACKLOG
    )
    site = web.SockSite(
        runner, listening, backlog=_BACKLOG, ssl_context=context
    )
    try:
        await site.start()
    except BaseException:
        await site.stop()
        listening.close()
        raise
    return listening


def create_listeners(
    clock: _clock.Clock, max_wait_ms: float = _MAX_WAIT_MS
) -> Listeners:
    """Returns the listening sockets of a host, none of which is open.

    Args:
      clock: The clock of the process.
      max_wait_ms: The time in ms, from now, for which open waits for addresses.
    """
    return Listeners(clock, max_wait_ms)
