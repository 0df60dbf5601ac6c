"""Measures the processor time of short calls."""

import time
from collections.abc import Callable

_US_PER_S = 1_000_000
_MIN_MEASUREMENT_S = 0.2  # Ten times the timing noise of one call.


def time_us(function: Callable[[], object]) -> float:
    """Returns the mean processor time of a call, in us."""
    function()
    count = 0
    start = time.process_time()
    while time.process_time() - start < _MIN_MEASUREMENT_S:
        function()
        count += 1
    return (time.process_time() - start) / count * _US_PER_S
