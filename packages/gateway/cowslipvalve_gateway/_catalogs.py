"""The state that this host serves by: routes, servers, domains out, hosts."""

import asyncio
import logging
import math
from collections.abc import Collection, Mapping

import cowslipvalve_base as base
from cowslipvalve_gateway import _groupplans
from cowslipvalve_gateway import _hostpresences
from cowslipvalve_gateway import _paceshares
from cowslipvalve_gateway import _pools
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _slackshares
from cowslipvalve_gateway import _statementmemories

# Used until the hosts are known; the size of the smallest deployments.
_DEFAULT_HOST_COUNT = 8
# The records of all hosts that start together are known after this time.
HOSTS_SETTLED_MS = 3_000.0
_MIN_CONNECTIONS = 2  # One for a request and one for a hedge.

_logger = logging.getLogger(__name__)


class Catalog:
    """The newest known state.

    A routing table never replaces a later version, nor a server's registration
    a later one of the same server.

    Attributes:
      table: The routing table in force, None until one is known.
      domains_out: The failure domains that receive no requests.
      hosts: The records of the deployment's hosts by name.
      presence: Which of the hosts are present.
      has_servers: Whether a whole listing of the servers was received.
      own_registered_ms: When this host was added to the hosts, on the process's
        clock; -inf if it was one of them before its start, inf once it has
        left them.
      shares_version: Increases whenever the hosts or the routes change.
      slack_shares: This host's shares of the slack of the budgets.
      planner: Plans which hosts ask the shards of a fan-out; None if each
        host asks all of them.
    """

    def __init__(
        self,
        clock: base.Clock,
        regions: dict[str, str],
        planner: _groupplans.GroupPlanner | None,
        memory: base.AnswerMemory,
        links: _serverlinks.ServerLinks,
        presence: _hostpresences.HostPresence,
    ) -> None:
        self._clock = clock
        self._memory = memory
        self._links = links
        self._regions = regions
        self.planner = planner
        self.table: _resources.RoutingTable | None = None
        self._table_ms = clock.now_ms()
        self._hosts_ms = clock.now_ms()
        # The services of the routes in force.
        self._single_services: frozenset[str] = frozenset()
        self._shards: frozenset[str] = frozenset()
        self._views: dict[str, _servers.ServerView] = {}
        self._by_service: dict[str, list[_servers.ServerView]] = {}
        # When servers whose registration ended are removed.
        self._removals_ms: dict[str, float] = {}
        self._statements = _statementmemories.create_statement_memory(clock)
        self.domains_out: frozenset[str] = frozenset()
        self.hosts: dict[str, _resources.HostRecord] = {}
        self.presence = presence
        self.has_servers = False
        self.own_registered_ms = -math.inf
        self.shares_version = 0
        self.slack_shares = _slackshares.create_slack_shares(clock)
        self._pace_shares = _paceshares.create_pace_shares(clock)
        self._completed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether routing table and servers are known."""
        return self.table is not None and self.has_servers

    @property
    def caller_limits(self) -> _resources.CallerLimits:
        """The limits on callers' requests; defaults if no table is known."""
        return self.table.limits if self.table else _resources.CallerLimits()

    def get_table_version(self) -> int:
        """Returns the version of the routing table, 0 if there is none."""
        return self.table.version if self.table else 0

    def get_table_age_ms(self) -> float:
        """Returns for how many ms the routing table has been in force."""
        return self._clock.now_ms() - self._table_ms

    def count_servers(self) -> int:
        """Returns the number of servers."""
        return len(self._views)

    def count_limited(self) -> int:
        """Returns the number of servers that state a rate limit."""
        return sum(view.rate_limit.is_stated for view in self._views.values())

    def cold_rate(self, service: str) -> float:
        """Returns this host's share of a cold server's request rate.

        The unit is requests per second; it is infinite if there is no bound.
        """
        found = self.table.services.get(service) if self.table else None
        if found is None or not found.cold_rate:
            return math.inf
        return found.cold_rate * self._pace_shares.find(service)

    async def wait_until_complete(self, timeout_ms: float) -> bool:
        """Waits until the catalog is complete; returns False on a timeout."""
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                await self._completed.wait()
        except TimeoutError:
            return False
        return True

    def region(self, domain: str) -> str:
        """Returns the region of a failure domain, empty if unknown."""
        return self._regions.get(domain, "")

    def set_table(self, table: _resources.RoutingTable) -> None:
        """Installs a routing table if it is newer than the current one."""
        old = self.table.version if self.table else 0
        if self.table is not None and table.version <= old:
            return
        self.table = table
        self._table_ms = self._clock.now_ms()
        self._shards = frozenset(
            service for route in table.routes for service in route.shards
        )
        self._single_services = frozenset(
            part.service for route in table.routes for part in route.split
        )
        self._update_shares()
        self._update_completeness()
        base.log_event(_logger, "configuration", old=old, version=table.version)

    @property
    def host_count(self) -> int:
        """The number of hosts that share limits; a default while unknown."""
        return len(self.hosts) or _DEFAULT_HOST_COUNT

    @property
    def present_hosts(self) -> Mapping[str, _resources.HostRecord]:
        """The records of the hosts that are present, by name."""
        return self.presence.select_present(self.hosts)

    def set_hosts(self, hosts: dict[str, _resources.HostRecord]) -> None:
        """Replaces the hosts of the deployment."""
        old = self.host_count
        if hosts == self.hosts:
            return
        self.hosts = hosts
        self.presence.retain(hosts)
        self._hosts_ms = self._clock.now_ms()
        base.log_event(_logger, "hosts", old=old, count=self.host_count)
        self._update_shares()

    def count_sharers(self, service: str) -> float:
        """Returns the reciprocal of this host's share of a service's limits.

        That is the number of hosts where all have equal shares.
        """
        if self.planner is None or not self.hosts:
            return float(self.host_count)
        return 1.0 / self.planner.find_share(service)

    def find_askers(self, service: str) -> Collection[_resources.HostRecord]:
        """Returns the hosts that usually send requests to a service."""
        if self.planner is None:
            return self.hosts.values()
        return self.planner.find_askers(service)

    def _update_shares(self) -> None:
        """Applies a change of the routes or the hosts to the limits."""
        self.shares_version += 1
        if self.planner is not None and self.table is not None:
            self.planner.update(
                (route.shards for route in self.table.routes if route.shards),
                self.hosts,
            )
        self.slack_shares.replace(self._compute_slack_shares())
        services = self.table.services if self.table else ()
        shares = {s: 1.0 / self.count_sharers(s) for s in services}
        self._pace_shares.replace(shares, self.host_count)
        for view in self._views.values():
            self._set_connection_limits(view)

    def _compute_slack_shares(self) -> dict[str, float] | None:
        """Returns the shares by service, None while others do not count it."""
        is_counted = self.planner is None or self.planner.is_member(self.hosts)
        if self.table is None or not self.hosts or not is_counted:
            return None
        services = self._single_services | self._shards
        return {s: 1.0 / self.count_sharers(s) for s in services}

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Replaces the set of failure domains that receive no requests."""
        if domains != self.domains_out:
            base.log_event(
                _logger, "domains-out", domains=",".join(sorted(domains))
            )
        self.domains_out = domains

    def put_server(self, server: _resources.Server) -> None:
        """Adds or updates a server unless a newer registration is known."""
        view = self._views.get(server.instance_id)
        self._removals_ms.pop(server.instance_id, None)
        if view is None:
            self._add(server)
            return
        if server.is_older_than(view.server):
            return
        is_same_incarnation = (
            server.started_ms == view.server.started_ms
            and server.address == view.server.address
            and server.service == view.server.service
        )
        if not is_same_incarnation:
            self._remove(server.instance_id, "replaced")
            self._add(server)
            return
        if server.state is not view.server.state:
            base.log_event(
                _logger,
                "server-state",
                server=server.instance_id,
                state=server.state.value,
                sequence=server.sequence,
            )
        view.update(server)

    def drop_server(self, instance_id: str, grace_ms: float) -> None:
        """Removes a server whose registration ended, after a grace period.

        Args:
          instance_id: The server.
          grace_ms: How long the server is still used, because its registration
            may have lapsed only because the store was unavailable.
        """
        if instance_id not in self._views:
            return
        if grace_ms <= 0:
            self._remove(instance_id, "gone")
            return
        remove_at_ms = self._clock.now_ms() + grace_ms
        self._removals_ms.setdefault(instance_id, remove_at_ms)

    def retain_servers(self, names: frozenset[str], grace_ms: float) -> None:
        """Removes, after a grace period, servers that a listing lacks.

        Args:
          names: The names of all servers in a whole listing.
          grace_ms: As in drop_server.
        """
        for name in self._views.keys() - names:
            self.drop_server(name, grace_ms)
        self.has_servers = True
        self._update_completeness()

    def remove_lapsed(self) -> None:
        """Removes servers that did not register again in their grace period."""
        now_ms = self._clock.now_ms()
        for name, remove_at_ms in list(self._removals_ms.items()):
            if remove_at_ms <= now_ms:
                self._remove(name, "lapsed")

    def unprepared_pools(self) -> list[_pools.ServerPool]:
        """Returns the pools to be prepared, of services that this host asks."""
        return [
            view.pool
            for view in self._views.values()
            if not view.pool.is_prepared
            and self._may_prepare(view.server.service)
        ]

    def _may_prepare(self, service: str) -> bool:
        """Whether connections to a service's servers are opened ahead.

        Only of services that this host asks: if each of many hosts connected to
        servers that no route names yet, they would exceed the servers' limits.
        While hosts still start, each of them would count as one that asks.
        """
        if self.planner is None:
            return True
        if self._find_connection_share(service) < 1.0:
            return False
        if service in self._single_services:
            return True
        if service not in self._shards:
            return False
        is_settled = self._clock.now_ms() - self._hosts_ms >= HOSTS_SETTLED_MS
        return is_settled and self.planner.is_asker(service)

    @property
    def servers(self) -> Collection[_servers.ServerView]:
        """All registered servers."""
        return self._views.values()

    def find_asked_services(self) -> list[str]:
        """Returns the services of routes that this host may send requests."""
        return [
            service
            for service in self._single_services | self._shards
            if self.planner is None or self.planner.is_asker(service)
        ]

    def find_server(self, instance_id: str) -> _servers.ServerView | None:
        """Returns a server, None if it is not registered."""
        return self._views.get(instance_id)

    def servers_of(self, service: str) -> list[_servers.ServerView]:
        """Returns all servers of a service, whether usable or not."""
        return self._by_service.get(service, [])

    def _update_completeness(self) -> None:
        if self.is_complete:
            self._completed.set()

    def _add(self, server: _resources.Server) -> None:
        view = _servers.create_server_view(
            self._clock,
            server,
            _MIN_CONNECTIONS,
            self._memory,
            self._links.add(server),
        )
        self._statements.restore(view)
        self._set_connection_limits(view)
        self._views[server.instance_id] = view
        self._by_service.setdefault(server.service, []).append(view)
        base.log_event(
            _logger,
            "server-added",
            server=server.instance_id,
            service=server.service,
            address=server.address,
            state=server.state.value,
            started=server.started_ms,
        )

    def _remove(self, instance_id: str, reason: str) -> None:
        self._removals_ms.pop(instance_id, None)
        view = self._views.pop(instance_id)
        self._by_service[view.server.service].remove(view)
        view.pool.close()
        self._links.remove(view.link)
        self._statements.keep(view)
        base.log_event(
            _logger, "server-removed", server=instance_id, reason=reason
        )

    def _set_connection_limits(self, view: _servers.ServerView) -> None:
        share = self._find_connection_share(view.server.service)
        view.pool.max_connections = max(_MIN_CONNECTIONS, int(share))
        view.pool.keeps_idle = share >= 1.0

    def _find_connection_share(self, service: str) -> float:
        """Returns this host's share of the connections to one server."""
        found = self.table.services.get(service) if self.table else None
        if found is None:
            return float(_MIN_CONNECTIONS)
        return found.max_connections / self.count_sharers(service)


def create_catalog(
    clock: base.Clock,
    regions: dict[str, str],
    planner: _groupplans.GroupPlanner | None = None,
    limits: base.AnswerLimits | None = None,
    links: _serverlinks.ServerLinks | None = None,
    presence: _hostpresences.HostPresence | None = None,
) -> Catalog:
    """Creates an empty catalog.

    Args:
      clock: The clock of the process.
      regions: The region of each failure domain.
      planner: Plans the groups of this host's domain; None if this host asks
        all shards itself.
      limits: The limits on servers' answers; None for the defaults.
      links: Follows the links to the servers; None if nobody does.
      presence: Which hosts are present; None if nobody finds out.
    """
    memory = base.create_answer_memory(limits)
    links = links or _serverlinks.create_server_links(clock)
    presence = presence or _hostpresences.create_host_presence()
    return Catalog(clock, regions, planner, memory, links, presence)
