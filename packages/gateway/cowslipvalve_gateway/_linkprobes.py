"""Probes the links to servers that are in doubt."""

import asyncio

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _links
from cowslipvalve_gateway import _probechoices
from cowslipvalve_gateway import _restarts
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers


class LinkProbing(mode.Service):
    """Notices lost links, and that they are back."""

    def __init__(
        self,
        links: _serverlinks.ServerLinks,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
    ) -> None:
        super().__init__()
        self._links = links
        self._catalog = catalog
        self._clock = clock
        self._choice = _probechoices.create_probe_choice(links, clock)
        self._probes: set[asyncio.Task[None]] = set()

    @mode.Service.task
    @_restarts.restart_on_error
    async def _follow_links(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_serverlinks.CHECK_PERIOD_MS)
            self._links.check()
            for link in self._choice.start_probes(self._may_probe):
                task = asyncio.create_task(self._probe(link))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)

    async def on_stop(self) -> None:
        """Cancels the probes in progress."""
        for task in self._probes:
            task.cancel()

    def _may_probe(self, link: _links.Link) -> bool:
        view = self._find_view(link)
        return view is not None and not view.pool.is_full

    def _find_view(self, link: _links.Link) -> _servers.ServerView | None:
        view = self._catalog.find_server(link.server.instance_id)
        return view if view is not None and view.link is link else None

    async def _probe(self, link: _links.Link) -> None:
        view = self._find_view(link)
        try:
            if view is not None:
                await view.pool.probe(_serverlinks.CONNECT_TIMEOUT_MS)
        finally:
            link.end_probe()


def create_link_probing(
    links: _serverlinks.ServerLinks,
    catalog: _catalogs.Catalog,
    clock: base.Clock,
) -> LinkProbing:
    """Creates the service that probes the links of a host."""
    return LinkProbing(links, catalog, clock)
