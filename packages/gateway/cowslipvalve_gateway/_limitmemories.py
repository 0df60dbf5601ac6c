"""Rate limits of servers whose registration has ended.

A registration may end and come back while its server goes on, such as when the
store is unavailable for a while.
"""

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _ratelimits
from cowslipvalve_gateway import _resources

_KEPT_MS = 60_000.0  # Longer than most outages of the store.


@attrs.frozen(kw_only=True)
class _KeptLimit:
    """The limit that a server has stated."""

    # The start of the server that stated it.
    started_ms: int
    limit: _ratelimits.RateLimit
    # Until when it is kept, on the process's clock.
    until_ms: float


class LimitMemory:
    """Keeps the rate limits of servers that may register again."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._kept: dict[str, _KeptLimit] = {}

    def keep(
        self, server: _resources.Server, limit: _ratelimits.RateLimit
    ) -> None:
        """Keeps the limit of a server that is no longer registered."""
        now_ms = self._clock.now_ms()
        self._kept = {
            name: kept
            for name, kept in self._kept.items()
            if kept.until_ms > now_ms
        }
        if limit.is_stated:
            self._kept[server.instance_id] = _KeptLimit(
                started_ms=server.started_ms,
                limit=limit,
                until_ms=now_ms + _KEPT_MS,
            )

    def restore(
        self, server: _resources.Server
    ) -> _ratelimits.RateLimit | None:
        """Returns the limit that this start of a server has stated, if any."""
        kept = self._kept.pop(server.instance_id, None)
        if kept is None or kept.started_ms != server.started_ms:
            return None
        return kept.limit


def create_limit_memory(clock: base.Clock) -> LimitMemory:
    """Creates an empty memory."""
    return LimitMemory(clock)
