"""Client side of group requests between hosts."""

import asyncio
from collections.abc import AsyncGenerator

import aiohttp

import cowslipvalve_base as base
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _hostrefusals

_HTTP_OK = 200
# After a busy turn of the event loop a time-out may come before bytes that
# have already arrived are read.
_REREAD_TIMEOUT_MS = 5.0


class GroupClient:
    """Sends group requests to other hosts and reads their reports."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def ask(
        self,
        address: str,
        message: _groupmessages.GroupRequest,
        silence_ms: float,
    ) -> AsyncGenerator[_groupmessages.GroupReport, None]:
        """Yields the reports of a host until its response ends.

        Args:
          address: The state address of the host.
          message: The request.
          silence_ms: The longest time to wait for the next report.

        Raises:
          UnsentError: The host could not be reached; it has not the request.
          HostRefusedError: The host refused the request and has sent nothing.
          HostUnavailableError: The host refused the request, its response
            broke off or is invalid, or it was silent for too long.
        """
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=base.to_seconds(silence_ms)
        )
        try:
            # The time to connect and the time to the first report.
            async with asyncio.timeout(base.to_seconds(2 * silence_ms)):
                response = await self._session.post(
                    f"http://{address}{_groupmessages.GROUP_PATH}",
                    data=base.encode(message),
                    timeout=timeout,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _errors.UnsentError(
                f"cannot connect: {error!r}", step="ask-group", peer=address
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _create_error(address, repr(error)) from error
        is_complete = False
        try:
            _hostrefusals.raise_if_refused(response, address)
            if response.status != _HTTP_OK:
                raise _create_error(address, f"status {response.status}")
            while line := await _read_line(address, response, silence_ms):
                yield _decode(address, line)
            is_complete = True
        finally:
            # Closing the connection cancels the work of the other host.
            if is_complete:
                response.release()
            else:
                response.close()


async def _read_line(
    address: str, response: aiohttp.ClientResponse, silence_ms: float
) -> bytes:
    """Returns the next line, empty at the end of a complete response."""
    timeouts_ms = (silence_ms, _REREAD_TIMEOUT_MS)
    for timeout_ms in timeouts_ms:
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                line = await response.content.readline()
        except TimeoutError:
            continue
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # ValueError: a line is longer than the reader's buffer.
            raise _create_error(address, repr(error)) from error
        return line
    raise _create_error(address, f"no report within {silence_ms:.0f} ms")


def _decode(address: str, line: bytes) -> _groupmessages.GroupReport:
    try:
        return base.decode(_groupmessages.GroupReport, line)
    except base.InputError as error:
        raise _create_error(address, str(error)) from error


def _create_error(address: str, cause: str) -> _errors.HostUnavailableError:
    return _errors.HostUnavailableError(
        f"the host did not ask its group of shards: {cause}",
        step="ask-group",
        peer=address,
    )


def create_group_client(session: aiohttp.ClientSession) -> GroupClient:
    """Creates a client for the group requests of this host."""
    return GroupClient(session)
