"""Requests between hosts whose responses report on the work in JSON lines."""

import asyncio
import logging
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import aiohttp
from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _hostrefusals

# The longest time between two reports of a host that works for another one.
PROGRESS_INTERVAL_MS = 30.0
# Two intervals without a report; the interval allows for a busy host.
SILENCE_MS = 2 * PROGRESS_INTERVAL_MS
_HTTP_OK = 200
_LINE_END = b"\n"
# A time-out may come before bytes that have already arrived are read.
_REREAD_TIMEOUT_MS = 5.0
# Timers of a host that is not busy are handled sooner.
_MIN_LATE_MS = 10.0

_MS_PER_S = 1_000.0

_Report = TypeVar("_Report")
_Result = TypeVar("_Result")

_logger = logging.getLogger(__name__)


async def ask(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    message: object,
    report_type: type[_Report],
    connect_timeout_ms: float,
    silence_ms: float,
) -> AsyncGenerator[_Report, None]:
    """Yields the reports of a host until its response ends.

    Args:
      session: The HTTP session.
      address: The state address of the host.
      path: What the request is about.
      message: The request, encoded as JSON.
      report_type: The type of the reports.
      connect_timeout_ms: The longest time to connect.
      silence_ms: The longest time to wait for the next report.

    Raises:
      UnsentError: The host could not be reached; it has not the request.
      HostRefusedError: The host refused the request and has sent nothing.
      HostUnavailableError: The host did not do what it was asked for, its
        response broke off or is invalid, or it was silent for too long.
    """
    try:
        response = await _post(
            session,
            f"http://{address}{path}",
            base.encode(message),
            connect_timeout_ms,
            silence_ms,
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise _errors.UnsentError(
            f"cannot connect: {error!r}", step=f"post {path}", peer=address
        ) from error
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        ValueError,  # Of names that cannot be encoded.
    ) as error:
        raise _create_error(address, path, repr(error)) from error
    is_complete = False
    try:
        _hostrefusals.raise_if_refused(response, address)
        if response.status != _HTTP_OK:
            raise _create_error(address, path, f"status {response.status}")
        while line := await _read_line(address, path, response, silence_ms):
            yield _decode(address, path, report_type, line)
        is_complete = True
    finally:
        # Closing the connection cancels the work of the other host.
        if is_complete:
            response.release()
        else:
            response.close()


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    connect_timeout_ms: float,
    silence_ms: float,
) -> aiohttp.ClientResponse:
    """Returns the response to a request.

    A time-out of connecting that comes late shows that this host was busy, and
    not that the other one was silent. It then connects once more.

    Raises:
      TimeoutError: The response has not come in time.
      aiohttp.ClientError: The request failed.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=base.to_seconds(connect_timeout_ms)
    )
    clock = asyncio.get_running_loop().time
    may_repeat = True
    while True:
        due_s = clock() + base.to_seconds(connect_timeout_ms)
        try:
            # The time to connect and the time to the first report.
            return await _await_response(
                session.post(url, data=body, timeout=timeout),
                connect_timeout_ms + silence_ms,
                silence_ms,
            )
        except aiohttp.ConnectionTimeoutError:
            late_ms = (clock() - due_s) * _MS_PER_S
            if not may_repeat or late_ms < _MIN_LATE_MS:
                raise
            may_repeat = False


async def _await_response(
    post: Awaitable[aiohttp.ClientResponse],
    timeout_ms: float,
    silence_ms: float,
) -> aiohttp.ClientResponse:
    """Returns the response of a call that begins.

    Raises:
      TimeoutError: It has not come in time.
    """
    task = asyncio.ensure_future(post)
    is_taken = False
    try:
        if await _ends_in_time(task, timeout_ms, silence_ms):
            is_taken = True
            return task.result()
    finally:
        if not is_taken:
            task.add_done_callback(_close_unused)
            task.cancel()
    raise TimeoutError(f"no response within {timeout_ms:.0f} ms")


async def _ends_in_time(
    task: asyncio.Future[_Result], timeout_ms: float, silence_ms: float
) -> bool:
    """Waits for a task; returns whether it ended in time.

    A time-out that comes late shows that this host was busy, and not that the
    other one was silent. The wait then goes on for as long as it was late, up
    to one silence in all.
    """
    loop = asyncio.get_running_loop()
    extra_ms = silence_ms
    wait_ms = timeout_ms
    while True:
        due_s = loop.time() + base.to_seconds(wait_ms)
        await asyncio.wait((task,), timeout=base.to_seconds(wait_ms))
        if task.done():
            return True
        late_ms = (loop.time() - due_s) * _MS_PER_S
        is_reread = extra_ms < silence_ms
        if extra_ms <= 0.0 or (is_reread and late_ms < _REREAD_TIMEOUT_MS):
            return False
        wait_ms = min(max(late_ms, _REREAD_TIMEOUT_MS), extra_ms)
        extra_ms -= wait_ms


def _close_unused(task: asyncio.Future[aiohttp.ClientResponse]) -> None:
    """Closes a response that came after its call was given up."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


async def respond(
    request: web.BaseRequest,
    write_reports: Callable[[web.StreamResponse], Awaitable[None]],
) -> web.StreamResponse:
    """Returns the response to a host, which may leave at any time.

    Args:
      request: The request of the host.
      write_reports: Does what the host asks for and writes its reports.
    """
    response = web.StreamResponse()
    try:
        await response.prepare(request)
        # A host that was frozen reads the close of the connection after the
        # request; it must not start work then.
        await asyncio.sleep(0)
        await write_reports(response)
        await response.write_eof()
    except ConnectionError as error:
        base.log_event(_logger, "asker-left", path=request.path, error=error)
    return response


async def write_report(response: web.StreamResponse, report: object) -> None:
    """Writes a report of this host to the host that it works for."""
    await response.write(base.encode(report) + _LINE_END)


async def _read_line(
    address: str, path: str, response: aiohttp.ClientResponse, silence_ms: float
) -> bytes:
    """Returns the next line, empty at the end of a complete response."""
    task = asyncio.ensure_future(response.content.readline())
    try:
        if await _ends_in_time(task, silence_ms, silence_ms):
            return task.result()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        # ValueError: a line is longer than the reader's buffer.
        raise _create_error(address, path, repr(error)) from error
    finally:
        task.cancel()
    raise _create_error(address, path, f"no report within {silence_ms:.0f} ms")


def _decode(
    address: str, path: str, report_type: type[_Report], line: bytes
) -> _Report:
    try:
        return base.decode(report_type, line)
    except base.InputError as error:
        raise _create_error(address, path, str(error)) from error


def _create_error(
    address: str, path: str, cause: str
) -> _errors.HostUnavailableError:
    return _errors.HostUnavailableError(
        f"the host did not do what it was asked for: {cause}",
        step=f"post {path}",
        peer=address,
    )
