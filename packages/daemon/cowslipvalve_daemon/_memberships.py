"""Who is alive, and which host is home to which server."""

from collections.abc import Callable

import attrs

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _settings


class Memberships:
    """The view that this host has of all others."""

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
        """Calls the listener when the live hosts of the domain change."""
        self._listeners.append(listener)

    def refresh(self) -> None:
        """Takes in what the heartbeats say; called after each of them."""
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

    def host_record(self, host: str) -> model.HostRecord | None:
        """Returns what is known of a host."""
        entry = self._table.get(("host", host))
        return entry.host if entry else None

    def other_hosts(self) -> tuple[model.HostRecord, ...]:
        """Returns the records of all hosts that are not known to be dead."""
        return tuple(
            entry.host
            for entry in self._table.entries("host")
            if entry.host is not None
            and entry.host.host != self.host
            and entry.host.state is not model.HostState.DEAD
        )

    def is_same_domain(self, record: model.HostRecord) -> bool:
        """Whether a host shares the leases of this one."""
        return record.failure_domain == self._settings.failure_domain

    def is_preferred_home(self, server: str) -> bool:
        """Whether this host ranks first for a server of its domain."""
        if server not in self._preferred_homes:
            self._preferred_homes[server] = policy.choose_name(
                self._live_hosts, server
            )
        return self._preferred_homes[server] == self.host

    def may_serve(self, server: str) -> bool:
        """Whether this host may send work to a server now."""
        return self.is_preferred_home(server) and self._leases.may_serve(server)

    def publish_server(self, record: model.ServerRecord) -> None:
        """Tells all hosts about a server that this host is home to."""
        self._table.write(model.VersionedRecord(1, server=record))

    def has_role(self, key: str, count: int) -> bool:
        """Whether this host is one of its domain's first ones for a role."""
        return self.host in policy.rank_names(self._live_hosts, key)[:count]

    def leads(self, key: str) -> bool:
        """Whether this host is the first of all hosts for a role."""
        live = [
            record.host
            for record in self.other_hosts()
            if record.state is model.HostState.LIVE
        ]
        if self._state is not model.HostState.LIVE:
            return False
        return policy.choose_name([*live, self.host], key) == self.host

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
        """Corrects what an older incarnation or another host wrote of us."""
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
            record = self.host_record(name)
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
    """Returns the view of a host that has just started."""
    return Memberships(settings, incarnation, table, leases)
