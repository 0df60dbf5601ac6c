"""A clock that tests control."""

import cowslipvalve_model as model


class ManualClock(model.Clock):
    """A clock that moves only when a test advances it."""

    def __init__(self, start_ms: float = 1_000_000.0) -> None:
        super().__init__()
        object.__setattr__(self, "time_ms", start_ms)

    def now_ms(self) -> float:
        """Returns the current time of this clock in ms."""
        time_ms: float = object.__getattribute__(self, "time_ms")
        return time_ms

    def wall_time_ms(self) -> int:
        """Returns the current time of this clock in whole ms."""
        return int(self.now_ms())

    def advance(self, duration_ms: float) -> None:
        """Advances the clock by a duration in ms."""
        object.__setattr__(self, "time_ms", self.now_ms() + duration_ms)


def create_manual_clock() -> ManualClock:
    """Returns a manual clock at the default start time."""
    return ManualClock()
