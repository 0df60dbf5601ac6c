"""Reads what other hosts know of servers' limits, when this host starts.

Answers the load of hosts that have just started: each of them would send
requests beyond the rate limits, and those under which servers end, before its
first answers.
"""

import asyncio
import collections
import logging

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _limitholders
from cowslipvalve_gateway import _limitnews
from cowslipvalve_gateway import _limitnotices
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _restarts

# How long requests wait for the limits: a round trip between regions over a new
# connection. After a power loss the hosts that are asked start as well.
_MAX_WAIT_MS = 60.0
_TIMEOUT_MS = 250.0
_POLL_MS = 10.0
# One of them may have just started, too.
_HOSTS_PER_SERVICE = 2
_MAX_HOSTS = 8

_logger = logging.getLogger(__name__)


class LimitReader(mode.Service):
    """Asks hosts that send requests to the same servers, once."""

    def __init__(
        self,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        ranking: _limitholders.HolderRanking,
        client: _limitnotices.NoticeClient,
        news: _limitnews.LimitNews,
        quarantine: _quarantines.Quarantine,
    ) -> None:
        super().__init__()
        self._catalog = catalog
        self._clock = clock
        self._ranking = ranking
        self._client = client
        self._news = news
        self._quarantine = quarantine
        self._done = asyncio.Event()

    @property
    def is_done(self) -> bool:
        """Whether requests need not wait for the limits any more."""
        return self._done.is_set()

    async def wait_until_done(self) -> None:
        """Waits until requests need not wait any more."""
        await self._done.wait()

    @mode.Service.task
    @_restarts.restart_on_error
    async def _read(self) -> None:
        try:
            asked = await self._ask_hosts()
        finally:
            self._done.set()
        await asyncio.gather(*asked)

    async def _ask_hosts(self) -> list[asyncio.Task[None]]:
        """Asks hosts and waits a while; returns the tasks that ask them."""
        while not await self._catalog.wait_until_complete(_MAX_WAIT_MS):
            if self.should_stop:
                return []
        await self._wait_for_hosts()
        asked = [
            asyncio.create_task(self._ask(host))
            for host in self._choose_hosts()
        ]
        if asked:
            await asyncio.wait(asked, timeout=base.to_seconds(_MAX_WAIT_MS))
        return asked

    async def _wait_for_hosts(self) -> None:
        """Waits until some hosts are known, which are listed with the rest."""
        until_ms = self._clock.now_ms() + _MAX_WAIT_MS
        while not self._catalog.hosts and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(_POLL_MS)

    def _choose_hosts(self) -> list[_resources.HostRecord]:
        """Returns other hosts that ask most of the same services."""
        found: collections.Counter[_resources.HostRecord] = (
            collections.Counter()
        )
        for service in self._catalog.find_asked_services():
            # The servers of a service are asked by the same hosts.
            for view in self._catalog.servers_of(service)[:1]:
                ranked = self._ranking.rank(view.server)
                near = ranked.near_first[:_HOSTS_PER_SERVICE]
                found.update(ranked.hosts[index] for index in near)
        return [host for host, _ in found.most_common(_MAX_HOSTS)]

    async def _ask(self, host: _resources.HostRecord) -> None:
        query = _limitnotices.LimitQuery(host=self._ranking.own.name)
        try:
            limits = await self._client.fetch(
                host.state_address, query, _TIMEOUT_MS
            )
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "limits-not-read", logging.WARNING, error=error
            )
            return
        self._news.receive_all(limits)
        self._quarantine.add_all(limits.quarantined)
        self._quarantine.suspects.add_all(limits.suspects)
        base.log_event(
            _logger,
            "limits-read",
            peer=host.name,
            count=len(limits.limits),
            quarantined=len(limits.quarantined),
        )


def create_limit_reader(
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    ranking: _limitholders.HolderRanking,
    client: _limitnotices.NoticeClient,
    news: _limitnews.LimitNews,
    quarantine: _quarantines.Quarantine,
) -> LimitReader:
    """Creates the service that reads the limits at the start of a host.

    Args:
      catalog: The servers and hosts.
      clock: The clock of the process.
      ranking: The hosts that ask a server.
      client: Asks other hosts.
      news: Takes the rate limits that they know.
      quarantine: Takes the requests that they refuse.
    """
    return LimitReader(catalog, clock, ranking, client, news, quarantine)
