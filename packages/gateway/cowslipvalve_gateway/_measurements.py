"""Counters and latency samples, cheap to record, read on metrics requests."""

import collections

import attrs

# A few minutes of one host's samples; older ones are dropped.
_MAX_LATENCY_SAMPLES = 20_000


@attrs.frozen
class Sample:
    """The latency of one request or attempt."""

    # The timed operation, such as "request".
    name: str
    # The name of the route.
    route: str
    # The latency in ms.
    latency_ms: float


class Measurements:
    """Counters since the start and recent latency samples.

    Loading the metrics library takes a third of the start-up time and recording
    a sample with it takes microseconds. It is therefore used only when metrics
    are requested, and then reads these measurements.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=_MAX_LATENCY_SAMPLES
        )

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increments a counter."""
        self._counts[(name, label)] += amount

    def add_latency(self, name: str, route: str, latency_ms: float) -> None:
        """Records a latency sample."""
        self._samples.append(Sample(name, route, latency_ms))

    def read_counts(self) -> dict[tuple[str, str], int]:
        """Returns all counters, keyed by name and label."""
        return dict(self._counts)

    def take_samples(self) -> list[Sample]:
        """Returns the latency samples since the last call."""
        samples = list(self._samples)
        self._samples.clear()
        return samples


def create_measurements() -> Measurements:
    """Creates empty measurements."""
    return Measurements()
