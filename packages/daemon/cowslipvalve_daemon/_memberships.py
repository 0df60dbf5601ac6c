"""Tracks which hosts are alive and which host is home to which server."""

from collections.abc import Callable

import attrs

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _settings


class Memberships:
    """This host's view of the other hosts.

    Publishes this host's own record and notifies the listeners of changes.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        incarnation: int,
        table: peers.RecordTable,
        leases: peers.LeaseKeeper,
    ) -> None:
        self._settings = settings
        self.host = settings.host
        self.incarnation = incarnation
        self._table = table
        self._leases = leases
        self._state = model.HostState.JOINING
        self._live_hosts: frozenset[str] = frozenset()
        self._preferred_homes: dict[str, str | None] = {}
        self._listeners: list[Callable[[], None]] = []
        table.add_listener(self._correct_own_record)
        self._publish_own_record()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a listener for changes of the domain's live hosts."""
        self._listeners.append(listener)

    def refresh(self) -> None:
        """Updates the view from the leases; called after each heartbeat."""
        if self._leases.state is not self._state:
            self._state = self._leases.state
            self._publish_own_record()
        self._declare_dead()
        live = self._leases.live_hosts()
        if live == self._live_hosts:
            return
        self._live_hosts = live
        self._preferred_homes.clear()
        for listener in self._listeners:
            listener()

    def find_host_record(self, host: str) -> model.HostRecord | None:
        """Returns the newest known record of a host, None if there is none."""
        entry = self._table.get(("host", host))
        return entry.host if entry else None

    def list_other_hosts(self) -> tuple[model.HostRecord, ...]:
        """Returns the records of the other hosts that are not marked dead."""
        return tuple(
            entry.host
            for entry in self._table.entries("host")
            if entry.host is not None
            and entry.host.host != self.host
            and entry.host.state is not model.HostState.DEAD
        )

    def is_same_domain(self, record: model.HostRecord) -> bool:
        """Whether a host is in this host's domain and so shares its leases."""
        return record.failure_domain == self._settings.failure_domain

    def is_preferred_home(self, server: str) -> bool:
        """Whether this host ranks first as home of a server of its domain."""
        if server not in self._preferred_homes:
            self._preferred_homes[server] = policy.choose_name(
                self._live_hosts, server
            )
        return self._preferred_homes[server] == self.host

    def may_serve(self, server: str) -> bool:
        """Whether rank and lease allow this host to send work to a server."""
        return self.is_preferred_home(server) and self._leases.may_serve(server)

    def publish_server(self, record: model.ServerRecord) -> None:
        """Publishes the record of a server whose home is this host."""
        self._table.write(model.VersionedRecord(1, server=record))

    def has_role(self, key: str, count: int) -> bool:
        """Whether this host is among the first hosts of its domain for a role.

        Args:
          key: The key of the role, by which hosts are ranked.
          count: The number of hosts that have the role.
        """
        return self.host in policy.rank_names(self._live_hosts, key)[:count]

    def _publish_own_record(self) -> None:
        record = model.HostRecord(
            host=self.host,
            incarnation=self.incarnation,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            address=self._settings.peer_address,
            state=self._state,
        )
        self._table.write(model.VersionedRecord(1, host=record))

    def _correct_own_record(self, entry: model.VersionedRecord) -> None:
        """Republishes this host's record if another writer's version is wrong.

        The writer may be an older incarnation or another host.
        """
        record = entry.host
        if record is None or record.host != self.host:
            return
        if (record.incarnation, record.state) != (
            self.incarnation,
            self._state,
        ):
            self._publish_own_record()

    def _declare_dead(self) -> None:
        for name in self._leases.expired_hosts():
            record = self.find_host_record(name)
            if record is None or record.state is model.HostState.DEAD:
                continue
            dead = attrs.evolve(record, state=model.HostState.DEAD)
            self._table.write(model.VersionedRecord(1, host=dead))


def create_memberships(
    settings: _settings.Settings,
    incarnation: int,
    table: peers.RecordTable,
    leases: peers.LeaseKeeper,
) -> Memberships:
    """Creates the memberships of a host that has just started."""
    return Memberships(settings, incarnation, table, leases)
