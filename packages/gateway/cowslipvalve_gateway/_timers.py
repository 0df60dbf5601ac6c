"""A step that is to follow after a time."""

import asyncio
from collections.abc import Callable

import cowslipvalve_base as base


class Timer:
    """Runs the newest step that it was given, unless it is stopped."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    def start(self, delay_ms: float, step: Callable[[], None]) -> None:
        """Runs a step after a time, instead of the one that was due."""
        self.stop()
        self._handle = asyncio.get_running_loop().call_later(
            base.to_seconds(delay_ms), step
        )

    def stop(self) -> None:
        """Runs nothing more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


def create_timer() -> Timer:
    """Creates a timer that is not started."""
    return Timer()
