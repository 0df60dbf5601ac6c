"""Writes observed state into the status of operators' resources."""

import logging
from collections.abc import Iterator

import attrs
import mode

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_store as store
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _compilers
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _watchers

_LOGGER = logging.getLogger(__name__)
_WRITE_INTERVAL_MS = 1_000
# Leaves most of the platform's write capacity to operators.
_MAX_WRITES_PER_ROUND = 50
_LEADER_KEY = "status"


class StatusWriter(mode.Service):
    """Writes changed statuses; active on one host of each failure domain.

    A server's status is written by the active host of its own domain. One
    leading domain writes the statuses of searches and failure domains, of
    rejected resources, and of servers whose domain has no live host.
    """

    def __init__(
        self,
        client: store.PlatformClient,
        table: peers.RecordTable,
        directory: _replicas.ReplicaDirectory,
        configurations: _configurations.ConfigurationHolder,
        memberships: _memberships.Memberships,
        watcher: _watchers.PlatformWatcher,
    ) -> None:
        super().__init__()
        self._client = client
        self._table = table
        self._directory = directory
        self._configurations = configurations
        self._memberships = memberships
        self._watcher = watcher

    @mode.Service.task
    async def _write_all(self) -> None:
        while not self.should_stop:
            await self.sleep(model.to_seconds(_WRITE_INTERVAL_MS))
            if not self._memberships.has_role(_watchers.WATCHER_ROLE_KEY, 1):
                continue
            try:
                await self._write_changed()
            except model.ConflictError:
                continue
            except model.CowslipvalveError as error:
                model.log_event(
                    _LOGGER,
                    "status-failure",
                    logging.WARNING,
                    step="write-status",
                    peer=error.peer,
                    error=error,
                )

    async def _write_changed(self) -> None:
        writes = 0
        for kind, name, status in self._compute_all():
            item = self._watcher.get_object(kind, name)
            plain = model.to_plain(status)
            if item is None or item.status == plain:
                continue
            # The watcher receives the updated object through its watch.
            await self._client.update_status(attrs.evolve(item, status=plain))
            writes += 1
            if writes == _MAX_WRITES_PER_ROUND:
                return

    def _compute_all(self) -> Iterator[tuple[str, str, model.Status]]:
        hosts = self._list_live_hosts()
        leads = self._is_leading_domain(hosts)
        configuration = self._configurations.current
        for rejection in self._watcher.rejections:
            if leads:
                yield rejection.kind, rejection.name, self._create_rejection(
                    rejection
                )
        rejected = {(r.kind, r.name) for r in self._watcher.rejections}
        for name, server in configuration.servers.items():
            is_own = self._is_own_domain(server.spec.failure_domain)
            is_orphan = leads and server.spec.failure_domain not in hosts
            if (is_own or is_orphan) and (
                "BackendServer",
                name,
            ) not in rejected:
                yield "BackendServer", name, self._compute_server_status(server)
        if not leads:
            return
        for name, search in configuration.searches.items():
            if ("Search", name) not in rejected:
                yield "Search", name, self._compute_search_status(search)
        for name, domain in configuration.domains.items():
            if ("FailureDomain", name) not in rejected:
                yield "FailureDomain", name, self._compute_domain_status(
                    domain, hosts
                )

    def _list_live_hosts(self) -> dict[str, list[str]]:
        """Returns the names of live hosts by failure domain."""
        hosts: dict[str, list[str]] = {}
        for entry in self._table.entries("host"):
            record = entry.host
            if record is not None and record.state is model.HostState.LIVE:
                names = hosts.setdefault(record.failure_domain, [])
                names.append(record.host)
        return hosts

    def _is_leading_domain(self, hosts: dict[str, list[str]]) -> bool:
        leader = policy.choose_name(hosts, _LEADER_KEY)
        return leader is not None and self._is_own_domain(leader)

    def _is_own_domain(self, name: str) -> bool:
        own = self._memberships.find_host_record(self._memberships.host)
        return own is not None and own.failure_domain == name

    def _create_rejection(
        self, rejection: _compilers.Rejection
    ) -> model.Status:
        condition = model.Condition(
            type="Accepted",
            status=model.ConditionStatus.FALSE,
            reason="BadSpec",
            message=rejection.message,
        )
        return model.Status(
            observed_generation=rejection.generation, conditions=(condition,)
        )

    def _compute_server_status(
        self, server: model.BackendServer
    ) -> model.Status:
        entry = self._table.get(("server", server.metadata.name))
        record = entry.server if entry else None
        return model.BackendServerStatus(
            observed_generation=self._find_observed_generation(
                "BackendServer", server
            ),
            accepted_number=server.status.accepted_number,
            conditions=(_create_accepted_condition(),),
            home=record.home if record else "",
            state=str(record.condition) if record else "unknown",
        )

    def _compute_search_status(self, search: model.Search) -> model.Status:
        name = search.metadata.name
        view = policy.choose_snapshot(self._directory.views(name))
        return model.SearchStatus(
            observed_generation=self._find_observed_generation(
                "Search", search
            ),
            accepted_number=search.status.accepted_number,
            conditions=(_create_accepted_condition(),),
            snapshot=view.snapshot.number if view else 0,
            coverage=round(view.coverage, 4) if view else 0.0,
        )

    def _compute_domain_status(
        self, domain: model.FailureDomain, hosts: dict[str, list[str]]
    ) -> model.Status:
        name = domain.metadata.name
        return model.FailureDomainStatus(
            observed_generation=self._find_observed_generation(
                "FailureDomain", domain
            ),
            accepted_number=domain.status.accepted_number,
            conditions=(_create_accepted_condition(),),
            hosts=tuple(sorted(hosts.get(name, ()))),
        )

    def _find_observed_generation(
        self, kind: str, resource: model.Resource
    ) -> int:
        """Returns the generation of the spec that is in force."""
        item = self._watcher.get_object(kind, resource.metadata.name)
        if item is None:
            return resource.metadata.generation
        try:
            seen = _compilers.check_resource(item)
        except model.InputError:
            return resource.metadata.generation
        if seen.spec != resource.spec:
            return resource.metadata.generation
        return item.metadata.generation


def _create_accepted_condition() -> model.Condition:
    return model.Condition(type="Accepted", status=model.ConditionStatus.TRUE)


def create_status_writer(
    client: store.PlatformClient,
    table: peers.RecordTable,
    directory: _replicas.ReplicaDirectory,
    configurations: _configurations.ConfigurationHolder,
    memberships: _memberships.Memberships,
    watcher: _watchers.PlatformWatcher,
) -> StatusWriter:
    """Creates the status writer of this host."""
    return StatusWriter(
        client, table, directory, configurations, memberships, watcher
    )
