"""Checks whether a server has ended or has only lost a connection."""

import enum

import cowslipvalve_base as base
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers

# A process that ends may close its listening socket after its connections.
_CHECK_DELAY_MS = 30.0
_CHECK_TIMEOUT_MS = 200.0
# If no server is reached in this time, it is not known which have ended. It is
# longer than servers that end together take to be back.
MAX_DOUBT_MS = 15_000.0
_DOUBT_CHECK_MS = 20.0
_LONG_DOUBT_CHECK_MS = 200.0
_LONG_DOUBT_MS = 1_000.0


class Verdict(enum.Enum):
    """What a check of a server has found."""

    ENDED = "ended"
    # It accepts connections, or does not answer.
    ALIVE = "alive"
    # It was removed, and was to end.
    REMOVED = "removed"
    # No server was reached since, so that this host may have lost its links.
    UNPROVEN = "unproven"


async def check_server(
    view: _servers.ServerView,
    lost_ms: float,
    links: _serverlinks.ServerLinks,
    clock: base.Clock,
) -> Verdict:
    """Finds out whether a server refuses connections.

    To a host that has lost its links all servers seem to have ended, so that
    another one must have been reached since.

    Args:
      view: The server.
      lost_ms: When a connection to it was lost, on the process's clock.
      links: The host's links.
      clock: The clock of the process.
    """
    await clock.sleep_ms(_CHECK_DELAY_MS)
    is_proven = links.proven_ms > lost_ms
    if not await view.pool.is_refused(_CHECK_TIMEOUT_MS):
        return Verdict.ALIVE
    if is_proven or not links.has_others(view.link):
        return Verdict.ENDED
    refused_ms = clock.now_ms()
    while links.proven_ms <= lost_ms and view.pool.max_connections:
        doubt_ms = clock.now_ms() - refused_ms
        if doubt_ms > MAX_DOUBT_MS:
            return Verdict.UNPROVEN
        await clock.sleep_ms(
            _DOUBT_CHECK_MS
            if doubt_ms < _LONG_DOUBT_MS
            else _LONG_DOUBT_CHECK_MS
        )
    if not view.pool.max_connections:
        # A cut does not remove it.
        is_ready = view.server.state is _resources.ServerState.READY
        return Verdict.ENDED if is_ready else Verdict.REMOVED
    # The links may have been away until now.
    if await view.pool.is_refused(_CHECK_TIMEOUT_MS):
        return Verdict.ENDED
    return Verdict.ALIVE
