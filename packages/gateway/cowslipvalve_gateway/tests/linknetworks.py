"""Servers and their links on a manual clock, for tests."""

import functools
from collections.abc import Callable, Iterable

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _links
from cowslipvalve_gateway import _probechoices
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers
from cowslipvalve_standins import _clocks

DOMAINS = ("kuopio", "rovaniemi", "vaasa")
SERVICES = 20
_TICK_MS = _serverlinks.CHECK_PERIOD_MS
_CONNECT_MS = 5.0
_REQUEST_PERIOD_MS = 200.0
_WARM_UP_MS = 2_000.0


class LinkNetwork:
    """Servers on a manual clock, each with requests of this host.

    Attributes:
      hanging: The servers that no packet reaches.
      refusing: The servers that refuse connections and reset open ones.
      closed: The servers that refuse connections and serve open ones.
      paused: The servers that accept connections and don't answer.
      probes: The servers of all probes, with their times.
      cut: The services of requests that were ended early.
    """

    def __init__(self, domains: Iterable[str], services: int) -> None:
        self.clock = _clocks.create_manual_clock()
        self.links = gateway.create_server_links(self.clock)
        self.choice = _probechoices.create_probe_choice(self.links, self.clock)
        domains = tuple(domains)
        self.views = [
            self.create_view(
                service, domains[(service + replica) % len(domains)]
            )
            for service in range(services)
            for replica in range(2)
        ]
        self.hanging: set[_servers.ServerView] = set()
        self.refusing: set[_servers.ServerView] = set()
        self.closed: set[_servers.ServerView] = set()
        self.paused: set[_servers.ServerView] = set()
        self.probes: list[tuple[float, _servers.ServerView]] = []
        self.cut: list[str] = []
        # What is due, in no order.
        self._due: list[tuple[float, Callable[[], None]]] = []

    def create_view(self, service: int, domain: str) -> _servers.ServerView:
        """Registers a server of a service."""
        server = gateway.Server(
            instance_id=f"{service}-{domain}",
            service=f"shard-{service}",
            address="127.0.0.1:1",
            domain=domain,
            state=gateway.ServerState.READY,
            slots=2,
        )
        link = self.links.add(server)
        return _servers.create_server_view(
            self.clock, server, 3, memory=None, link=link
        )

    def views_of(self, service: int) -> list[_servers.ServerView]:
        """Returns the servers of a service."""
        return [v for v in self.views if v.server.service == f"shard-{service}"]

    def views_in(self, *domains: str) -> set[_servers.ServerView]:
        """Returns the servers of failure domains."""
        return {v for v in self.views if v.server.domain in domains}

    def is_stranded(self) -> bool:
        """Whether this host reaches no server."""
        return self.links.is_stranded

    def is_cut_off(self, service: int = 0) -> bool:
        """Whether requests to a service go through another host."""
        return self.links.is_cut_off(f"shard-{service}", self.views_of(service))

    def play(
        self,
        duration_ms: float,
        is_idle: bool = False,
        is_done: Callable[[], bool] = lambda: False,
    ) -> float:
        """Plays a time with a fan-out every 200 ms; returns how long it took.

        Args:
          duration_ms: The time to play.
          is_idle: Whether only one service is asked, each second.
          is_done: Ends the play as soon as it is true.
        """
        start_ms = self.clock.now_ms()
        next_request_ms = start_ms
        while self.clock.now_ms() - start_ms < duration_ms and not is_done():
            now_ms = self.clock.now_ms()
            if now_ms >= next_request_ms:
                next_request_ms += 1_000.0 if is_idle else _REQUEST_PERIOD_MS
                for service in range(1 if is_idle else SERVICES):
                    self.request(service)
            self.links.check()
            for link in self.choice.start_probes(lambda _: True):
                self.probe(link)
            end_ms = now_ms + _TICK_MS
            while self.clock.now_ms() < end_ms:
                self.clock.advance(_CONNECT_MS)
                self.run_due()
        return self.clock.now_ms() - start_ms

    def run_due(self) -> None:
        """Runs what is due now."""
        now_ms = self.clock.now_ms()
        due = [step for at_ms, step in self._due if at_ms <= now_ms]
        self._due = [item for item in self._due if item[0] > now_ms]
        for step in due:
            step()

    def request(self, service: int, attempts: int = 2) -> None:
        """Sends a request to the first server that counts as reached."""
        views = self.views_of(service)
        if not views or self.links.is_cut_off(f"shard-{service}", views):
            return
        views.sort(key=lambda view: view.link.is_unreached)
        view = views[0]
        if view in self.refusing:
            view.link.record_failure(is_silent=False)
            if attempts > 1:
                retry = functools.partial(self.request, service, attempts - 1)
                self._due.append((self.clock.now_ms() + _CONNECT_MS, retry))
            return
        wait = view.link.start_wait(
            lambda: self.cut.append(view.server.service)
        )
        if view not in self.hanging and view not in self.paused:
            self.schedule_answer(view, wait)

    def schedule_answer(
        self, view: _servers.ServerView, wait: _links.Wait
    ) -> None:
        """Has a server answer soon, if it is reached then."""

        def answer() -> None:
            if view in self.hanging:
                return
            view.link.end_wait(wait)
            view.link.record_reach(wait.started_ms, is_connect=False)

        self._due.append((self.clock.now_ms() + 3 * _CONNECT_MS, answer))

    def probe(self, link: _links.Link) -> None:
        """Has a probe end as the network makes it."""
        view = next(v for v in self.views if v.link is link)
        self.probes.append((self.clock.now_ms(), view))

        def end() -> None:
            link.end_probe()
            if view in self.hanging | self.refusing | self.closed:
                link.record_failure(is_silent=view in self.hanging)
            else:
                link.record_reach(link.probed_ms, is_connect=True)

        took_ms = (
            _serverlinks.CONNECT_TIMEOUT_MS
            if view in self.hanging
            else _CONNECT_MS
        )
        self._due.append((self.clock.now_ms() + took_ms, end))


def create_network(
    domains: Iterable[str] = DOMAINS, services: int = SERVICES
) -> LinkNetwork:
    """Creates a network with load, whose links are known to be sound."""
    network = LinkNetwork(domains, services)
    network.play(_WARM_UP_MS)
    assert not network.links.is_stranded
    return network
