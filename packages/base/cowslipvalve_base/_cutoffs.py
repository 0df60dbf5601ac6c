"""An early end of all operations in progress."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from cowslipvalve_base import _errors


class Cutoff:
    """Ends all operations in progress when the process has to stop."""

    def __init__(self) -> None:
        # The time limits of the operations in progress.
        self._limits: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def apply(self) -> AsyncIterator[None]:
        """Ends the enclosed operation if end_all is called meanwhile.

        Raises:
          CutOffError: The operation was ended.
        """
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                yield
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise _errors.CutOffError(
                "this host stopped before the request was done", step="stop"
            ) from error
        finally:
            self._limits.discard(limit)

    def end_all(self) -> None:
        """Ends all operations in progress."""
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)


def create_cutoff() -> Cutoff:
    """Creates a cutoff without operations."""
    return Cutoff()
