"""Monotonic and wall-clock time in milliseconds."""

import asyncio
import time

import attrs

_NANOSECONDS_PER_MS = 1_000_000
_MS_PER_SECOND = 1_000


@attrs.frozen
class Clock:
    """Reads the operating system's clocks, in milliseconds."""

    def now_ms(self) -> float:
        """Returns monotonic time, including time in system suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOSECONDS_PER_MS

    def wall_time_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for display only."""
        return time.time_ns() // _NANOSECONDS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleeps for a duration; yields to the event loop at least once."""
        await asyncio.sleep(max(0.0, duration_ms) / _MS_PER_SECOND)


def create_clock() -> Clock:
    """Creates a clock for this process."""
    return Clock()


def to_seconds(duration_ms: float) -> float:
    """Converts milliseconds to seconds, as asyncio and aiohttp take them."""
    return duration_ms / _MS_PER_SECOND
