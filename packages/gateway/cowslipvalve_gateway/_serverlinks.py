"""Follows which servers this host cannot reach, and why.

A host that has lost its links to all servers must not take them for ended, and
a host whose servers have ended must not take its links for lost. It therefore
compares servers of all failure domains, and takes one that it reaches for proof
that its own links work. Kernels accept connections for processes that pause, so
a connect tells a slow server from a lost link.
"""

import logging
import math
from collections.abc import Collection, Iterator
from typing import Protocol

import cowslipvalve_base as base
from cowslipvalve_gateway import _hosthealth
from cowslipvalve_gateway import _links
from cowslipvalve_gateway import _resources

CHECK_PERIOD_MS = 50.0
# The process was held up if checks are further apart; nothing is late then.
_MAX_CHECK_GAP_MS = 150.0
# Connects between regions take less time, also on busy machines.
CONNECT_TIMEOUT_MS = 200.0
# The silence on a connection of a link that counts as lost.
_LOST_SILENCE_MS = 600.0
# The fewest servers whose failure means that this host has lost its links.
_MIN_FAILED = 6
# For so long they must all have failed; retries reach other servers in it.
_MIN_DOUBT_MS = 30.0
# The fewest servers that must be reached after that.
_MIN_REACHED = 2
# Losses that are closer to each other have the same cause.
_RECURRENCE_MS = 10_000.0
_FIRST_HOLD_MS = 500.0
_MAX_HOLD_MS = 4_000.0
# The pauses between detours to servers that no other host reached either.
_FIRST_DETOUR_PAUSE_MS = 500.0
_MAX_DETOUR_PAUSE_MS = 8_000.0

_logger = logging.getLogger(__name__)


class LinkedServer(Protocol):
    """A server that this host has a link to."""

    @property
    def link(self) -> _links.Link:
        """The link to the server."""


class ServerLinks:
    """Follows whether this host reaches the servers.

    Attributes:
      is_stranded: Whether this host reaches no server at all.
      lost_count: How often it has come to reach none.
      has_unreached: Whether a server may be unreached, or takes no connections.
      reached_ms: When any server was last reached, -inf before the first.
      proven_ms: When the last connect or request began that reached a server;
        this host's links worked after that.
      restored_ms: When this host last came to reach servers again, -inf if it
        has always reached some.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._links: dict[_links.Link, None] = {}
        # Those that something waits on, or did at the last check.
        self._waiting: dict[_links.Link, None] = {}
        self._detours = _hosthealth.create_host_health(
            clock, _FIRST_DETOUR_PAUSE_MS, _MAX_DETOUR_PAUSE_MS
        )
        self._checked_ms = clock.now_ms()
        # When all links were last lost, inf before that.
        self._lost_ms = math.inf
        self._is_silent_loss = False
        self._hold_ms = 0.0
        # Whether another host reached servers during the last loss.
        self._is_own_loss = False
        self.is_stranded = False
        self.lost_count = 0
        self.has_unreached = False
        self.reached_ms = -math.inf
        self.proven_ms = -math.inf
        self.restored_ms = -math.inf

    @property
    def links(self) -> tuple[_links.Link, ...]:
        """The links to all registered servers."""
        return tuple(self._links)

    @property
    def waiting(self) -> tuple[_links.Link, ...]:
        """The links that something may wait on."""
        return tuple(self._waiting)

    @property
    def is_doubtful(self) -> bool:
        """Whether this host may reach no server at all."""
        return self.is_stranded or any(self.find_failed())

    def has_others(self, link: _links.Link) -> bool:
        """Whether there are servers to compare the server of a link with."""
        return any(other.is_ready for other in self._links if other is not link)

    def count_unreached(self) -> int:
        """Returns the number of servers that this host does not reach."""
        return sum(link.is_unreached for link in self._links)

    def find_failed(self) -> Iterator[_links.Link]:
        """Yields the links that failed after any server was last reached."""
        return (
            link
            for link in self._links
            if link.is_unreached
            and link.is_ready
            and link.failed_ms > self.reached_ms
        )

    def add(self, server: _resources.Server) -> _links.Link:
        """Adds the link to a newly registered server."""
        link = _links.create_link(self._clock, server, self)
        self._links[link] = None
        return link

    def remove(self, link: _links.Link) -> None:
        """Removes the link to a server that is no longer registered."""
        self._links.pop(link, None)
        self._waiting.pop(link, None)

    def is_cut_off(
        self,
        service: str,
        views: Collection[LinkedServer],
        must_connect: bool = False,
    ) -> bool:
        """Whether requests to a service are to go through another host.

        That is so if this host reaches none of the service's servers, and
        other hosts reach them, or may do so.

        Args:
          service: The service.
          views: Its usable servers.
          must_connect: Whether the requests need new connections.
        """
        if not views or self._detours.is_suspect(service):
            return False
        if self.is_stranded and self._clock.now_ms() < self._find_hold_end_ms():
            return True
        return all(
            self.is_out_of_reach(view.link)
            or (must_connect and not view.link.takes_connections)
            for view in views
        )

    def is_out_of_reach(self, link: _links.Link) -> bool:
        """Whether a request over a link would be of no use."""
        return link.is_unreached or self._is_lost(link)

    def record_detour(self, service: str, is_reached: bool) -> None:
        """Records whether another host reached a service for this one."""
        if is_reached:
            self._is_own_loss |= self.is_stranded
            self._detours.record_success(service)
        else:
            self._detours.record_failure(service)

    def check(self) -> None:
        """Finds what is overdue; to be called each CHECK_PERIOD_MS."""
        now_ms = self._clock.now_ms()
        is_held_up = now_ms - self._checked_ms > _MAX_CHECK_GAP_MS
        self._checked_ms = now_ms
        if self.has_unreached:
            self.has_unreached = any(
                link.is_unreached or not link.takes_connections
                for link in self._links
            )
        if is_held_up:
            return
        for link in self.waiting:
            if link.waits:
                self._record_slow_connects(link)
                link.cut_waits(self._find_patience_ms(link))
            else:
                del self._waiting[link]
        if self.is_stranded:
            self._end_loss()
        elif self.has_unreached:
            self._find_loss()

    def handle_wait(self, link: _links.Link) -> None:
        """Takes a link that something begins to wait on."""
        if link in self._links:
            self._waiting[link] = None

    def handle_failure(self, link: _links.Link, is_new: bool) -> None:
        """Takes the link of a server that can no longer be reached."""
        if link not in self._links:
            return
        self.has_unreached = True
        if self.is_stranded or not is_new:
            return
        base.log_event(
            _logger,
            "server-unreached",
            server=link.server.instance_id,
            silent=link.is_silent,
        )

    def handle_reach(self, link: _links.Link, started_ms: float) -> None:
        """Takes the link of a server that was reached."""
        if link in self._links:
            self.reached_ms = link.reached_ms
            self.proven_ms = max(self.proven_ms, started_ms)
            self._end_loss()

    def _find_loss(self) -> None:
        """Finds out whether the failures leave no server that is reached."""
        failed = list(self.find_failed())
        first_ms = min((link.failed_ms for link in failed), default=math.inf)
        if self._clock.now_ms() - first_ms < _MIN_DOUBT_MS:
            return
        ready = [link for link in self._links if link.is_ready]
        # Servers that were unreached before tell nothing new.
        known = sum(link.is_unreached for link in ready) - len(failed)
        needed = max(1, min(_MIN_FAILED, len(ready) - known))
        unreached = {link.server.domain for link in ready if link.is_unreached}
        if len(failed) < needed or unreached != {
            link.server.domain for link in ready
        }:
            return
        self._begin_loss(failed)

    def _begin_loss(self, failed: list[_links.Link]) -> None:
        now_ms = self._clock.now_ms()
        self._hold_ms = (
            min(_MAX_HOLD_MS, max(_FIRST_HOLD_MS, 2 * self._hold_ms))
            if self._is_own_loss and now_ms - self.restored_ms < _RECURRENCE_MS
            else 0.0
        )
        self._is_own_loss = False
        self.is_stranded = True
        self.lost_count += 1
        self._lost_ms = now_ms
        self._is_silent_loss = any(link.is_silent for link in failed)
        base.log_event(
            _logger,
            "links-lost",
            logging.WARNING,
            servers=len(failed),
            silent=self._is_silent_loss,
            unheard_ms=_describe_age_ms(now_ms - self.reached_ms),
            hold_ms=round(self._hold_ms),
        )
        for link in self.links:
            link.record_loss(self._is_silent_loss)
            link.cut_waits(self._find_patience_ms(link))

    def _end_loss(self) -> None:
        now_ms = self._clock.now_ms()
        if not self.is_stranded or now_ms < self._find_hold_end_ms():
            return
        reached = sum(
            not link.is_unreached and link.reached_ms > self._lost_ms
            for link in self._links
        )
        # Others may be dead, though they are still registered.
        half = math.ceil(len(self._links) / 2)
        if reached < min(_MIN_REACHED, max(1, half)):
            return
        self.is_stranded = False
        self.restored_ms = now_ms
        base.log_event(
            _logger,
            "links-back",
            reached=reached,
            unreached=self.count_unreached(),
            lost_ms=round(now_ms - self._lost_ms),
        )

    def _find_hold_end_ms(self) -> float:
        return self._lost_ms + self._hold_ms

    def _is_lost(self, link: _links.Link) -> bool:
        """Whether a link was lost with all others and not reached since."""
        return self.is_stranded and link.reached_ms <= self._lost_ms

    def _record_slow_connects(self, link: _links.Link) -> None:
        latest_ms = self._clock.now_ms() - CONNECT_TIMEOUT_MS
        for wait in link.waits:
            if (
                wait.is_connect
                and not wait.is_questioned
                and wait.started_ms <= latest_ms
            ):
                wait.is_questioned = True
                link.record_failure(is_silent=True)

    def _find_patience_ms(self, link: _links.Link) -> float:
        """Returns for how long an answer over a link is waited for."""
        if self._is_lost(link):
            # Open connections may outlive a refusal of new ones.
            return 0.0 if self._is_silent_loss else _LOST_SILENCE_MS
        if link.is_unreached and link.is_silent:
            return _LOST_SILENCE_MS
        return math.inf


def _describe_age_ms(age_ms: float) -> int | None:
    return round(age_ms) if math.isfinite(age_ms) else None


def create_server_links(clock: base.Clock) -> ServerLinks:
    """Creates the links of a host, which count as sound."""
    return ServerLinks(clock)
