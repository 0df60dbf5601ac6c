"""Decides whether this host asks servers for a host that does not reach them.

Answers the load of the callers of many stranded hosts on few others: the own
callers of these come first.
"""

import contextlib
from collections.abc import Iterator

from cowslipvalve_gateway import _hostrefusals
from cowslipvalve_gateway import _looplags
from cowslipvalve_gateway import _serverlinks

# Requests to services at a time. One host asks for about as many in a busy
# second, so that they delay its own by less than a target.
_MAX_RUNNING = 256
# Own requests already wait for longer than a server usually takes.
_MAX_LAG_MS = 150.0


class RelayAdmission:
    """Bounds the requests that this host sends to servers for others.

    Attributes:
      is_stopping: Whether this host is about to stop.
    """

    def __init__(
        self, links: _serverlinks.ServerLinks, lag: _looplags.LoopLag
    ) -> None:
        self._links = links
        self._lag = lag
        self._running = 0
        self.is_stopping = False

    def find_refusal(self) -> _hostrefusals.HostRefusalReason | None:
        """Returns why this host takes no request now, None if it does."""
        if self._links.is_stranded:
            return _hostrefusals.HostRefusalReason.STRANDED
        if self.is_stopping:
            return _hostrefusals.HostRefusalReason.STOPPING
        is_busy = self._lag.lasting_ms > _MAX_LAG_MS
        if is_busy or self._running >= _MAX_RUNNING:
            return _hostrefusals.HostRefusalReason.BUSY
        return None

    @contextlib.contextmanager
    def count_running(self, services: int) -> Iterator[None]:
        """Counts a request to some services as running in the context."""
        self._running += services
        try:
            yield
        finally:
            self._running -= services


def create_relay_admission(
    links: _serverlinks.ServerLinks, lag: _looplags.LoopLag
) -> RelayAdmission:
    """Creates the admission of a host.

    Args:
      links: Which servers this host cannot reach.
      lag: The lag of this host's event loop.
    """
    return RelayAdmission(links, lag)
