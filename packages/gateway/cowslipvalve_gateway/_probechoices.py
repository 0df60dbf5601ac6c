"""Chooses the servers that a host connects to, to learn of its links."""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator

import cowslipvalve_base as base
from cowslipvalve_gateway import _links
from cowslipvalve_gateway import _serverlinks

# The silence on a connection if no server was heard from since.
_SILENCE_MS = 200.0
# The silence while others answer; it outlasts usual pauses of servers.
_SERVER_SILENCE_MS = 600.0
_MAX_PROBES = 4
# As many servers as tell whether the links to all are lost.
_MAX_PROBES_IN_DOUBT = 6
# After a loss, the links to all servers must be known soon.
_MAX_PROBES_AFTER_LOSS = 16
_SERVER_PERIOD_MS = 1_000.0
_ROUND_PERIOD_MS = 250.0


class ProbeChoice:
    """Chooses the links to probe, bounded in number and by time."""

    def __init__(
        self, links: _serverlinks.ServerLinks, clock: base.Clock
    ) -> None:
        self._links = links
        self._clock = clock
        self._round_ms = -math.inf

    def start_probes(
        self, may_probe: Callable[[_links.Link], bool]
    ) -> list[_links.Link]:
        """Returns the links to probe now, whose probes count as begun.

        Args:
          may_probe: Whether a connection to a link's server may be opened.
        """
        chosen: list[_links.Link] = []
        for limit, found in self._find_candidates():
            if not found:
                continue
            running = sum(link.is_probing for link in self._links.links)
            room = max(0, limit - running)
            allowed = (link for link in found if may_probe(link))
            for link in itertools.islice(allowed, room):
                link.start_probe()
                chosen.append(link)
        return chosen

    def _find_candidates(
        self,
    ) -> Iterator[tuple[int, list[_links.Link]]]:
        """Yields the links worth a probe, with the limit on probes."""
        if self._links.is_stranded:
            yield _MAX_PROBES, self._find_round(_is_unreached)
            return
        silent = self._find_due(self._is_silent, self._links.waiting)
        yield _MAX_PROBES_IN_DOUBT, silent
        if not self._links.has_unreached:
            return
        yield _MAX_PROBES_IN_DOUBT, self._find_comparisons()
        yield _MAX_PROBES_AFTER_LOSS, self._find_due(self._is_left_of_loss)
        yield _MAX_PROBES, self._find_round(_is_unreached)

    def _find_round(
        self, is_wanted: Callable[[_links.Link], bool]
    ) -> list[_links.Link]:
        now_ms = self._clock.now_ms()
        if now_ms - self._round_ms < _ROUND_PERIOD_MS:
            return []
        found = self._find_due(is_wanted)
        if found:
            self._round_ms = now_ms
        return found

    def _find_due(
        self,
        is_wanted: Callable[[_links.Link], bool],
        links: Iterable[_links.Link] | None = None,
    ) -> list[_links.Link]:
        """Returns links, least recently probed first, domains in turn.

        Servers that this host has never asked come last: many hosts that did so
        at once would exceed the servers' limits on connections.
        """
        latest_ms = self._clock.now_ms() - _SERVER_PERIOD_MS
        found = [
            link
            for link in (self._links.links if links is None else links)
            if not link.is_probing
            and (
                link.probed_ms <= latest_ms
                or link.probed_ms <= self._links.restored_ms
            )
            and is_wanted(link)
        ]
        return _take_domains_in_turn(
            sorted(
                found,
                key=lambda link: (not link.was_reached, link.probed_ms),
            )
        )

    def _is_silent(self, link: _links.Link) -> bool:
        """Whether a request over a link that counts as sound has no answer."""
        if link.is_unreached:
            return False
        now_ms = self._clock.now_ms()
        for wait in link.waits:
            if wait.is_connect or wait.is_questioned:
                continue
            age_ms = now_ms - wait.started_ms
            if age_ms >= _SERVER_SILENCE_MS:
                return True
            # The oldest one has waited longest.
            return (
                age_ms >= _SILENCE_MS
                and self._links.reached_ms < wait.started_ms
            )
        return False

    def _find_comparisons(self) -> list[_links.Link]:
        """Returns links that tell whether failures are the servers' own."""
        failed = {link.server.domain for link in self._links.find_failed()}
        if not failed:
            return []
        found = self._find_due(
            lambda link: link.is_ready and not link.is_unreached
        )
        return sorted(found, key=lambda link: link.server.domain in failed)

    def _is_left_of_loss(self, link: _links.Link) -> bool:
        return _is_unreached(link) and link.probed_ms <= self._links.restored_ms


def _is_unreached(link: _links.Link) -> bool:
    return link.is_unreached or not link.takes_connections


def _take_domains_in_turn(
    links: list[_links.Link],
) -> list[_links.Link]:
    """Orders links so that those of one domain are far from each other."""
    turns: dict[str, int] = {}
    keys: dict[_links.Link, int] = {}
    for link in links:
        turn = turns.get(link.server.domain, 0)
        turns[link.server.domain] = turn + 1
        keys[link] = turn
    return sorted(links, key=lambda link: keys[link])


def create_probe_choice(
    links: _serverlinks.ServerLinks, clock: base.Clock
) -> ProbeChoice:
    """Creates the choice of a host's probes."""
    return ProbeChoice(links, clock)
