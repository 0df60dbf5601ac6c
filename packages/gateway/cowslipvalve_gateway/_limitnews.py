"""Spreads the rate limit of a server to all hosts that ask it.

Answers the load of hosts that no answer has told yet: each of them would send
requests beyond the limit before its first answer.
"""

import asyncio
import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _hosthealth
from cowslipvalve_gateway import _limitholders
from cowslipvalve_gateway import _limitnotices
from cowslipvalve_gateway import _ratelimits
from cowslipvalve_gateway import _servers

_TIMEOUT_MS = 250.0  # Several round trips between regions.
# Hosts that learn of a limit together send no more than this; a limit that
# changes more often is learned from answers.
_MIN_INTERVAL_MS = 500.0
_MAX_RUNNING = 256  # Notices in progress; each holds a descriptor.

_logger = logging.getLogger(__name__)


class LimitNews:
    """Tells other hosts of changes of servers' rate limits.

    The hosts that ask a server form a binary tree in the order of its holders.
    A host that learns of a change tells the two hosts below it; one that
    learns from an answer also tells the first host. So each host sends three
    notices at most, however many learn of the change at once.
    """

    def __init__(
        self,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        ranking: _limitholders.HolderRanking,
        client: _limitnotices.NoticeClient,
        health: _hosthealth.HostHealth,
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._ranking = ranking
        self._client = client
        self._health = health
        self._running: set[asyncio.Task[None]] = set()

    def announce(self, view: _servers.ServerView) -> None:
        """Tells other hosts of a change that an answer has stated."""
        own_index = self._ranking.rank(view.server).own_index
        first = [0] if own_index else []
        self._spread(view, [*first, *_find_successors(own_index)])

    def receive(self, notice: _limitnotices.LimitNotice) -> None:
        """Takes a notice of another host, and passes on what is new."""
        view = self._catalog.find_server(notice.server)
        if view is not None and self._learn(view, notice):
            own_index = self._ranking.rank(view.server).own_index
            self._spread(view, _find_successors(own_index))

    def receive_all(self, limits: _limitnotices.LimitList) -> None:
        """Takes what another host knows, which the others know as well."""
        for notice in limits.limits:
            view = self._catalog.find_server(notice.server)
            if view is not None:
                self._learn(view, notice)

    def list_all(self) -> _limitnotices.LimitList:
        """Returns all limits that this host knows."""
        return _limitnotices.LimitList(
            limits=tuple(
                self._create_notice(view)
                for view in self._catalog.servers
                if view.rate_limit.is_stated
            )
        )

    def _learn(
        self, view: _servers.ServerView, notice: _limitnotices.LimitNotice
    ) -> bool:
        """Takes a notice; returns whether it changes the limit."""
        requests_per_s = _ratelimits.NO_LIMIT
        if notice.requests_per_s is not None:
            requests_per_s = notice.requests_per_s
        stated_ms = self._clock.now_ms() - notice.age_ms
        return view.rate_limit.learn(requests_per_s, stated_ms)

    def _spread(self, view: _servers.ServerView, indexes: list[int]) -> None:
        now_ms = self._clock.now_ms()
        limit = view.rate_limit
        if now_ms - limit.announced_ms < _MIN_INTERVAL_MS:
            return
        limit.announced_ms = now_ms
        for index in indexes:
            if len(self._running) >= _MAX_RUNNING:
                base.log_event(
                    _logger, "limit-not-spread", running=len(self._running)
                )
                return
            task = asyncio.create_task(self._tell(view, index))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _tell(self, view: _servers.ServerView, index: int) -> None:
        """Tells a host, or those below it if it does not answer."""
        ranked = self._ranking.rank(view.server)
        pending = [index]
        while pending:
            index = pending.pop()
            if index >= len(ranked.hosts) or index == ranked.own_index:
                continue
            host = ranked.hosts[index]
            try:
                await self._client.tell(
                    host.state_address, self._create_notice(view), _TIMEOUT_MS
                )
            except _errors.HostUnavailableError as error:
                self._health.record_failure(host.name)
                base.log_event(
                    _logger, "notice-failed", logging.WARNING, error=error
                )
                pending += _find_successors(index)

    def _create_notice(
        self, view: _servers.ServerView
    ) -> _limitnotices.LimitNotice:
        limit = view.rate_limit
        return _limitnotices.LimitNotice(
            server=view.server.instance_id,
            requests_per_s=limit.requests_per_s if limit.is_stated else None,
            age_ms=self._clock.now_ms() - limit.stated_ms,
        )


def _find_successors(index: int) -> list[int]:
    """Returns the places below a place in the tree, which may be empty."""
    return [2 * index + 1, 2 * index + 2]


def create_limit_news(
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    ranking: _limitholders.HolderRanking,
    client: _limitnotices.NoticeClient,
    health: _hosthealth.HostHealth,
) -> LimitNews:
    """Creates the exchange of a host with those that ask the same servers.

    Args:
      catalog: The servers.
      clock: The clock of the process.
      ranking: The hosts that ask a server.
      client: Sends notices.
      health: Which other hosts have failed recently.
    """
    return LimitNews(catalog, clock, ranking, client, health)
