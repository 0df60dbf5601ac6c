"""Client and server side of the state exchange between hosts (HTTP, JSON)."""

import asyncio
import zlib
from collections.abc import Mapping

import aiohttp
from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _bodies
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _statelogs
from cowslipvalve_gateway import _stores

STATE_PATH = "/state"
STATE_AGE_PATH = "/state/age"
_WAIT_PARAMETER = "waitMs"
_ERA_SUFFIX = "Era"
_MAX_WAIT_MS = 5_000
# Longer messages are compressed, because links between hosts are slow: a new
# configuration with its servers for ten followers, 1 MB uncompressed, delayed a
# watcher's requests by 0.9 s.
_MAX_UNCOMPRESSED_BYTES = 1_400
_FASTEST_COMPRESSION_LEVEL = 1
_HTTP_OK = 200
_HTTP_BAD_REQUEST = 400
_HTTP_NOT_FOUND = 404


class HostClient:
    """Fetches state from other hosts."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def fetch(
        self,
        address: str,
        positions: _statelogs.Positions,
        wait_ms: int,
        timeout_ms: float,
    ) -> _replicas.StateMessage:
        """Fetches a host's changes after the given positions.

        Args:
          address: The state address of the host.
          positions: The position of each kind that is already known.
          wait_ms: How long the host waits for a change before it answers.
          timeout_ms: How long to wait for the answer.

        Raises:
          HostUnavailableError: The host did not return a valid answer.
        """
        query: dict[str, str] = {}
        for kind, position in positions.items():
            query[kind.value] = str(position.revision)
            query[kind.value + _ERA_SUFFIX] = str(position.era)
        query[_WAIT_PARAMETER] = str(wait_ms)
        return await self._get(address, STATE_PATH, query, timeout_ms)

    async def fetch_age(
        self, address: str, timeout_ms: float
    ) -> _replicas.StateMessage:
        """Fetches the age of a host's state without the state itself.

        Raises:
          HostUnavailableError: The host did not return a valid answer.
        """
        return await self._get(address, STATE_AGE_PATH, {}, timeout_ms)

    async def _get(
        self, address: str, path: str, query: dict[str, str], timeout_ms: float
    ) -> _replicas.StateMessage:
        try:
            async with (
                asyncio.timeout(base.to_seconds(timeout_ms)),
                self._session.get(
                    f"http://{address}{path}", params=query
                ) as response,
            ):
                text = await _bodies.read_body(response)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,  # Of names that cannot be encoded.
            base.InputError,
        ) as error:
            raise _create_unavailable_error(address, repr(error)) from error
        if response.status != _HTTP_OK:
            raise _create_unavailable_error(
                address, f"status {response.status}"
            )
        try:
            return base.decode(_replicas.StateMessage, text)
        except base.InputError as error:
            raise _create_unavailable_error(address, str(error)) from error


def _create_unavailable_error(
    address: str, cause: str
) -> _errors.HostUnavailableError:
    return _errors.HostUnavailableError(
        f"the host did not return its state: {cause}",
        step="fetch-state",
        peer=address,
    )


class StateHandler:
    """Serves this host's state to other hosts."""

    def __init__(self, replica: _replicas.StateReplica) -> None:
        self._replica = replica

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Returns the changes that a host lacks, at once or after a wait."""
        if request.path == STATE_AGE_PATH:
            return _create_response(self._replica.build_message(None))
        if request.path != STATE_PATH:
            return web.Response(status=_HTTP_NOT_FOUND)
        try:
            positions = self._read_positions(request.query)
            wait_ms = int(request.query.get(_WAIT_PARAMETER, "0"))
        except ValueError as error:
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))
        if self._replica.is_watching:
            await self._replica.log.wait_for_changes(
                positions, min(wait_ms, _MAX_WAIT_MS)
            )
        return _create_response(self._replica.build_message(positions))

    def _read_positions(
        self, query: Mapping[str, str]
    ) -> dict[_stores.StateKind, _stores.Position]:
        """Returns the positions of a query; without an era, in the known one.

        Raises:
          ValueError: A revision or an era is not a number.
        """
        return {
            kind: _stores.Position(
                era=int(
                    query.get(kind.value + _ERA_SUFFIX, self._find_era(kind))
                ),
                revision=int(query[kind.value]),
            )
            for kind in _stores.StateKind
            if kind.value in query
        }

    def _find_era(self, kind: _stores.StateKind) -> int:
        known = self._replica.log.position(kind)
        return known.era if known else 0


def _create_response(message: _replicas.StateMessage) -> web.Response:
    body = base.encode(message)
    headers = {"Content-Type": "application/json"}
    if len(body) > _MAX_UNCOMPRESSED_BYTES:
        body = zlib.compress(body, _FASTEST_COMPRESSION_LEVEL)
        headers["Content-Encoding"] = "deflate"
    return web.Response(body=body, headers=headers)


def create_host_client(session: aiohttp.ClientSession) -> HostClient:
    """Creates a client for other hosts."""
    return HostClient(session)


def create_state_handler(replica: _replicas.StateReplica) -> StateHandler:
    """Creates the handler by which other hosts read a replica."""
    return StateHandler(replica)
