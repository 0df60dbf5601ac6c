"""Execution of commands: the platform's client, errors and exit statuses."""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp

import cowslipvalve_model as model
import cowslipvalve_store as store

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_NOT_FOUND = 4
EXIT_PLATFORM_UNAVAILABLE = 5
_EXIT_STATUSES: tuple[tuple[type[model.CowslipvalveError], int], ...] = (
    (model.InputError, EXIT_BAD_INPUT),
    (model.ConflictError, EXIT_CONFLICT),
    (model.NotFoundError, EXIT_NOT_FOUND),
    (model.PlatformUnavailableError, EXIT_PLATFORM_UNAVAILABLE),
)


class ExitOnError:
    """Prints an error and exits with the status for its type."""

    def __enter__(self) -> None:
        return

    def __exit__(
        self, _kind: object, error: BaseException | None, _traceback: object
    ) -> None:
        if not isinstance(error, model.CowslipvalveError):
            return
        print(f"cowslipvalve: {error}", file=sys.stderr)
        for error_type, exit_status in _EXIT_STATUSES:
            if isinstance(error, error_type):
                sys.exit(exit_status)
        sys.exit(EXIT_FAILED)


def run_command(
    url: str, run: Callable[[store.PlatformClient], Awaitable[None]]
) -> None:
    """Runs a command with a client of the platform; exits on its errors."""
    with ExitOnError():
        asyncio.run(_run_with_client(url, run))


async def _run_with_client(
    url: str, run: Callable[[store.PlatformClient], Awaitable[None]]
) -> None:
    async with _open_client(url) as client:
        await run(client)


@asynccontextmanager
async def _open_client(url: str) -> AsyncIterator[store.PlatformClient]:
    async with aiohttp.ClientSession() as session:
        yield store.create_platform_client(session, url)
