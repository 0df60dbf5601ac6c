"""The link to one server: whether it was reached, and what waits on it."""

import math
from collections.abc import Callable
from typing import Protocol

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _resources


class LinkObserver(Protocol):
    """Is told what becomes of links."""

    def handle_wait(self, link: "Link") -> None:
        """Takes a link that something begins to wait on."""

    def handle_failure(self, link: "Link", is_new: bool) -> None:
        """Takes the link of a server that can no longer be reached.

        Args:
          link: The link.
          is_new: Whether the server had taken the connection before this one.
        """

    def handle_reach(self, link: "Link", started_ms: float) -> None:
        """Takes the link of a server that was reached.

        Args:
          link: The link.
          started_ms: When the connect or the request began.
        """


@attrs.define(kw_only=True, eq=False)
class Wait:
    """A connect in progress, or a request that awaits its answer."""

    # When it began, on the process's clock.
    started_ms: float
    # Ends the wait; None if it must not be ended.
    end: Callable[[], None] | None
    # Whether a connection is being opened.
    is_connect: bool
    # Whether it has lasted so long that the link was questioned.
    is_questioned: bool = False


class Link:
    """What this host knows of the way to one server.

    Attributes:
      server: The newest registration of the server.
      is_unreached: Whether the server was not reached when last tried.
      takes_connections: Whether the server accepted the last connection; open
        ones may live on if it did not.
      is_silent: Whether the last failure was silence, rather than a refusal.
      failed_ms: When the server came to be unreached, -inf if it never was.
      reached_ms: When the server last answered or accepted a connection, -inf
        if it never did.
      probed_ms: When the last probe began, -inf before the first.
      is_probing: Whether a probe is in progress.
      on_recovered: Called when the server is reached again.
    """

    def __init__(
        self,
        clock: base.Clock,
        server: _resources.Server,
        observer: LinkObserver | None,
    ) -> None:
        self._clock = clock
        self._observer = observer
        # Oldest first.
        self._waits: dict[Wait, None] = {}
        self.server = server
        self.is_unreached = False
        self.takes_connections = True
        self.is_silent = False
        self.failed_ms = -math.inf
        self.reached_ms = -math.inf
        self.probed_ms = -math.inf
        self.is_probing = False
        self.on_recovered: Callable[[], None] = lambda: None

    @property
    def waits(self) -> tuple[Wait, ...]:
        """The connects and requests in progress, oldest first."""
        return tuple(self._waits)

    @property
    def was_reached(self) -> bool:
        """Whether this host has ever reached the server."""
        return math.isfinite(self.reached_ms)

    @property
    def is_ready(self) -> bool:
        """Whether the server is registered to take requests."""
        return self.server.state is _resources.ServerState.READY

    def start_wait(
        self, end: Callable[[], None] | None, is_connect: bool = False
    ) -> Wait:
        """Counts a connect or a request as in progress.

        Args:
          end: Ends the wait if the link turns out to be lost; None if the wait
            must not be ended.
          is_connect: Whether a connection is being opened.
        """
        wait = Wait(
            started_ms=self._clock.now_ms(), end=end, is_connect=is_connect
        )
        self._waits[wait] = None
        if self._observer is not None:
            self._observer.handle_wait(self)
        return wait

    def end_wait(self, wait: Wait) -> None:
        """Counts a connect or a request as over."""
        self._waits.pop(wait, None)

    def cut_waits(self, min_age_ms: float) -> None:
        """Ends what has waited for a time, in ms."""
        latest_ms = self._clock.now_ms() - min_age_ms
        for wait in self.waits:
            if wait.end is not None and wait.started_ms <= latest_ms:
                self.end_wait(wait)
                wait.end()

    def start_probe(self) -> None:
        """Records that a probe begins."""
        self.probed_ms = self._clock.now_ms()
        self.is_probing = True
        for wait in self._waits:
            wait.is_questioned = True

    def end_probe(self) -> None:
        """Records that a probe has ended."""
        self.is_probing = False

    def record_reach(self, started_ms: float, is_connect: bool) -> None:
        """Records that the server answered or accepted a connection.

        Args:
          started_ms: When the connect or the request began.
          is_connect: Whether it accepted a connection.
        """
        self.reached_ms = self._clock.now_ms()
        self.takes_connections |= is_connect
        if self.is_unreached:
            self.is_unreached = False
            self.on_recovered()
        if self._observer is not None:
            self._observer.handle_reach(self, started_ms)

    def record_loss(self, is_silent: bool) -> None:
        """Records that this host has lost its links to all servers.

        Of a server that it never reached, nothing is known then either.
        """
        if not self.was_reached:
            return
        self.takes_connections = False
        if not self.is_unreached:
            self.is_unreached = True
            self.is_silent = is_silent
            self.failed_ms = self._clock.now_ms()

    def record_failure(self, is_silent: bool) -> None:
        """Records that a connection to the server could not be opened.

        Args:
          is_silent: Whether nothing came back, rather than a refusal.
        """
        is_new, self.takes_connections = self.takes_connections, False
        self.is_silent = is_silent
        if self.is_unreached:
            return
        self.is_unreached = True
        self.failed_ms = self._clock.now_ms()
        if self._observer is not None:
            self._observer.handle_failure(self, is_new)


def create_unregistered_link(clock: base.Clock, address: str) -> Link:
    """Creates the link to an address without a registered server."""
    server = _resources.Server(
        instance_id="",
        service="",
        address=address,
        domain="",
        state=_resources.ServerState.READY,
        slots=1,
    )
    return Link(clock, server, None)


def create_link(
    clock: base.Clock,
    server: _resources.Server,
    observer: LinkObserver | None = None,
) -> Link:
    """Creates the link to a server, which counts as sound.

    Args:
      clock: The clock of the process.
      server: The server.
      observer: Is told what becomes of the link.
    """
    return Link(clock, server, observer)
