"""Shards whose servers' rate limits other hosts have used up.

Answers the load of a shared fan-out over such shards: the host that got the
request does not ask them itself, and could not tell that too few can answer.
"""

import cowslipvalve_base as base


class ShardWaits:
    """Until when the hosts that ask some shards may send no request."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        # When a server takes the next request, by service.
        self._until_ms: dict[str, float] = {}

    def record(self, service: str, wait_ms: float) -> None:
        """Records for how many ms no server of a shard takes a request."""
        self._until_ms[service] = self._clock.now_ms() + wait_ms

    def find_wait_ms(self, service: str) -> float:
        """Returns for how many ms a shard takes no request, 0 if it does."""
        until_ms = self._until_ms.get(service, 0.0)
        wait_ms = until_ms - self._clock.now_ms()
        if wait_ms <= 0.0:
            self._until_ms.pop(service, None)
        return max(0.0, wait_ms)


def create_shard_waits(clock: base.Clock) -> ShardWaits:
    """Creates waits for no shards."""
    return ShardWaits(clock)
