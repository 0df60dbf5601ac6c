"""A clock that tests set by hand."""

import cowslipvalve_model as model


class ManualClock(model.Clock):
    """Shows the time that it was last set to."""

    def __init__(self, start_ms: float = 1_000_000.0) -> None:
        super().__init__()
        object.__setattr__(self, "time_ms", start_ms)

    def now_ms(self) -> float:
        """Returns the time that was set."""
        time_ms: float = object.__getattribute__(self, "time_ms")
        return time_ms

    def wall_time_ms(self) -> int:
        """Returns the same time as a whole number."""
        return int(self.now_ms())

    def advance(self, duration_ms: float) -> None:
        """Moves the time on."""
        object.__setattr__(self, "time_ms", self.now_ms() + duration_ms)


def create_manual_clock() -> ManualClock:
    """Returns a clock that stands still."""
    return ManualClock()
