"""Cancels a call in the turn of the event loop in which it times out."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

TIMEOUT_MS = 300.0
_STALL_BEGIN_S = 0.25
_STALL_S = 0.1


@contextlib.asynccontextmanager
async def serve_silently() -> AsyncIterator[str]:
    """Runs a server that takes connections and answers nothing.

    Yields:
      The address of the server.
    """
    released = asyncio.Event()

    async def keep_open(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await released.wait()
        writer.close()

    server = await asyncio.start_server(keep_open, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        released.set()
        server.close()


async def is_cancelled_at_timeout(
    call: Callable[[], Awaitable[object]],
) -> bool:
    """Whether a call ends as cancelled if it times out at the same time.

    Args:
      call: Starts a call to a silent server that times out after TIMEOUT_MS.
    """

    async def run_in_group() -> None:
        async with asyncio.TaskGroup() as group:
            tasks.append(group.create_task(_wait_for(call())))

    tasks: list[asyncio.Task[object]] = []
    parent = asyncio.create_task(run_in_group())
    await asyncio.sleep(_STALL_BEGIN_S)
    time.sleep(_STALL_S)  # noqa: ASYNC251
    parent.cancel()
    await asyncio.gather(parent, return_exceptions=True)
    return tasks[0].cancelled()


async def check_calls(
    test: unittest.TestCase,
    calls: Mapping[str, Callable[[], Awaitable[object]]],
) -> None:
    """Checks that each of some calls ends as cancelled.

    Args:
      test: The test, which gets a subtest per call.
      calls: As in is_cancelled_at_timeout, by name.
    """
    for name, call in calls.items():
        with test.subTest(name):
            test.assertTrue(await is_cancelled_at_timeout(call))


async def _wait_for(awaitable: Awaitable[object]) -> object:
    return await awaitable
