"""What servers have stated whose registration has ended.

A registration may end and come back while its server goes on, such as when the
store is unavailable for a while.
"""

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _ratelimits
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _withdrawals

_KEPT_MS = 60_000.0  # Longer than most outages of the store.


@attrs.frozen(kw_only=True)
class _Statements:
    """What a server has stated in its answers."""

    # The start of the server that stated it.
    started_ms: int
    limit: _ratelimits.RateLimit
    withdrawal: _withdrawals.Withdrawal
    # Until when it is kept, on the process's clock.
    until_ms: float


class StatementMemory:
    """Keeps the statements of servers that may register again."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._kept: dict[str, _Statements] = {}

    def keep(self, view: _servers.ServerView) -> None:
        """Keeps what a server has stated that is no longer registered."""
        now_ms = self._clock.now_ms()
        self._kept = {
            name: kept
            for name, kept in self._kept.items()
            if kept.until_ms > now_ms
        }
        if view.rate_limit.is_stated or view.withdrawal.is_in_force:
            kept_ms = max(_KEPT_MS, view.withdrawal.pause_ms)
            self._kept[view.server.instance_id] = _Statements(
                started_ms=view.server.started_ms,
                limit=view.rate_limit,
                withdrawal=view.withdrawal,
                until_ms=now_ms + kept_ms,
            )

    def restore(self, view: _servers.ServerView) -> None:
        """Restores what this start of a server has stated, if anything."""
        kept = self._kept.pop(view.server.instance_id, None)
        if kept is not None and kept.started_ms == view.server.started_ms:
            view.rate_limit = kept.limit
            view.withdrawal = kept.withdrawal


def create_statement_memory(clock: base.Clock) -> StatementMemory:
    """Creates an empty memory."""
    return StatementMemory(clock)
