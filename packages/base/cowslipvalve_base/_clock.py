"""Time in milliseconds."""

import asyncio
import time

import attrs

_NANOSECONDS_PER_MS = 1_000_000
_MS_PER_SECOND = 1_000


@attrs.frozen
class Clock:
    """Reads the clocks of this process in milliseconds."""

    def now_ms(self) -> float:
        """Returns monotonic time, which also runs while suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOSECONDS_PER_MS

    def wall_time_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for people to read."""
        return time.time_ns() // _NANOSECONDS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits for the given time, at least one turn of the event loop."""
        await asyncio.sleep(max(0.0, duration_ms) / _MS_PER_SECOND)


def create_clock() -> Clock:
    """Returns the clock of this process."""
    return Clock()


def to_seconds(duration_ms: float) -> float:
    """Converts milliseconds to the seconds that libraries take."""
    return duration_ms / _MS_PER_SECOND
