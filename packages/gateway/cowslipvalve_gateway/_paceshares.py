"""This host's shares of the rates of cold servers, over time."""

from collections.abc import Mapping

import cowslipvalve_base as base
from cowslipvalve_gateway import _slackshares

# The second in which a cold server's requests count, and the 3 s in which hosts
# learn of each other.
_HOLD_MS = 4_000.0
# The fewest hosts that a host counts after its start, when it may not know yet
# those that start with it.
_MIN_START_HOSTS = 8


class PaceShares:
    """Remembers this host's shares, so that a larger one counts only later.

    Unlike with the slack of budgets, a host that has just started has a share:
    after a power loss all servers are cold, and callers wait for them.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        # Shares of the time before the start bound nothing.
        self._shares = _slackshares.create_slack_shares(clock, {})
        self._settled_ms = clock.now_ms() + _HOLD_MS
        self._current: Mapping[str, float] = {}
        self._host_count = 0

    def replace(self, by_service: Mapping[str, float], host_count: int) -> None:
        """Replaces the shares that count from now on.

        Args:
          by_service: The shares, at most 1, of all services.
          host_count: The number of hosts by which they were computed.
        """
        self._shares.replace(by_service)
        self._current = by_service
        self._host_count = host_count

    def find(self, service: str) -> float:
        """Returns this host's share, 0 to 1, of the rates of a service."""
        share = self._shares.find(service, _HOLD_MS)
        if self._clock.now_ms() >= self._settled_ms:
            return share
        known_part = min(1.0, self._host_count / _MIN_START_HOSTS)
        return min(share, self._current.get(service, 0.0) * known_part)


def create_pace_shares(clock: base.Clock) -> PaceShares:
    """Creates the shares of a host that has just started."""
    return PaceShares(clock)
