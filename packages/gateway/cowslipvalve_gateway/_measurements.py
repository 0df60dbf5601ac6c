"""What a host counts; cheap to write, read when metrics are asked for."""

import collections

import attrs

# Some minutes of one host; older ones are dropped.
_MAX_LATENCY_SAMPLES = 20_000


@attrs.frozen
class Sample:
    """The latency of one request or attempt."""

    # What was timed, such as "request".
    name: str
    # The route.
    route: str
    # The latency.
    latency_ms: float


class Measurements:
    """Counters and latency samples since the start.

    The metrics library takes a third of a start to load and microseconds for
    each sample, so it only reads these when somebody asks.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=_MAX_LATENCY_SAMPLES
        )

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self._counts[(name, label)] += amount

    def add_latency(self, name: str, route: str, latency_ms: float) -> None:
        """Adds a latency."""
        self._samples.append(Sample(name, route, latency_ms))

    def read_counts(self) -> dict[tuple[str, str], int]:
        """Returns all counters by name and label."""
        return dict(self._counts)

    def take_samples(self) -> list[Sample]:
        """Returns the latencies since the last call."""
        samples = list(self._samples)
        self._samples.clear()
        return samples


def create_measurements() -> Measurements:
    """Returns measurements that hold nothing yet."""
    return Measurements()
