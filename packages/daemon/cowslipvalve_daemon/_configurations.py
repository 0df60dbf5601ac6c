"""The configuration that is in force on this host."""

import collections
import logging
from collections.abc import Callable
from typing import Any

import attrs

import cowslipvalve_model as model
from cowslipvalve_daemon import _metrics
import cowslipvalve_peers as peers

_LOGGER = logging.getLogger(__name__)
_KEPT_DELTAS = 100


class ConfigurationHolder:
    """Holds the accepted configuration, whose number never decreases.

    A placement change that any host has read from the platform is announced
    to all hosts and takes effect before the configuration that contains it is
    accepted.
    """

    def __init__(
        self, table: peers.RecordTable, metrics: _metrics.Metrics
    ) -> None:
        self._table = table
        self._metrics = metrics
        self.current = model.Configuration()
        self._deltas: collections.deque[model.ConfigurationDelta] = (
            collections.deque(maxlen=_KEPT_DELTAS)
        )
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each installed delta."""
        self._listeners.append(listener)

    def install(self, delta: model.ConfigurationDelta) -> bool:
        """Applies a delta to the current configuration.

        Returns:
          Whether the configuration changed. A delta does not apply if its
          number is not higher or its base is a different configuration.
        """
        old = self.current
        new = model.apply_delta(old, delta)
        if new.number == old.number:
            return False
        self.current = new
        self._metrics.accepted_number.add(new.number - old.number)
        if old.number:
            self._deltas.append(model.compute_delta(old, new))
        model.log_event(
            _LOGGER,
            "configuration-installed",
            number=new.number,
            old=old.number,
        )
        for listener in self._listeners:
            listener()
        return True

    def get_delta_since(self, number: int) -> model.ConfigurationDelta:
        """Returns the delta for a peer that has the given number.

        The delta is full if no kept delta leads from that number to the
        current configuration.
        """
        for delta in reversed(self._deltas):
            if delta.base == number and delta.number == self.current.number:
                return delta
        return model.compute_full_delta(self.current)

    def is_domain_out(self, name: str) -> bool:
        """Whether the placement of a failure domain is out."""
        domain = self.current.domains.get(name)
        if domain is None:
            return self._apply_urgent_placement("FailureDomain", name, 0, False)
        return self._apply_urgent_placement(
            "FailureDomain",
            name,
            domain.metadata.resource_version,
            domain.spec.placement is model.Placement.OUT,
        )

    def is_server_out(self, server: model.BackendServer) -> bool:
        """Whether the placement of a server or of its failure domain is out."""
        if self.is_domain_out(server.spec.failure_domain):
            return True
        return self.is_own_placement_out(server)

    def is_own_placement_out(self, server: model.BackendServer) -> bool:
        """Whether the placement of the server itself is out.

        The accepted resource of the server's name replaces the given one.
        """
        accepted = self.current.servers.get(server.metadata.name)
        server = accepted or server
        return self._apply_urgent_placement(
            "BackendServer",
            server.metadata.name,
            server.metadata.resource_version,
            server.spec.placement is model.Placement.OUT,
        )

    def _apply_urgent_placement(
        self, kind: str, name: str, version: int, out: bool
    ) -> bool:
        """Returns the announced placement if it is newer than the given one."""
        entry = self._table.get((kind, name))
        if entry is None or entry.placement is None:
            return out
        if entry.placement.resource_version <= version:
            return out
        return entry.placement.out

    def announce_placement(
        self, kind: str, metadata: model.Metadata, out: bool
    ) -> None:
        """Announces a placement change to all hosts before it is accepted."""
        entry = self._table.get((kind, metadata.name))
        if entry is not None and entry.version >= metadata.resource_version:
            return
        record = model.PlacementRecord(
            kind=kind,
            name=metadata.name,
            resource_version=metadata.resource_version,
            out=out,
        )
        self._table.merge(
            (
                model.VersionedRecord(
                    metadata.resource_version, placement=record
                ),
            ),
            "",
        )


def create_configuration_holder(
    table: peers.RecordTable, metrics: _metrics.Metrics
) -> ConfigurationHolder:
    """Creates a holder without an accepted configuration."""
    return ConfigurationHolder(table, metrics)


def accept_resource(resource: model.Resource, number: int) -> model.Resource:
    """Returns the resource in the form that a configuration holds.

    Its status has only the number of the configuration that accepted its spec.
    """
    status: Any = type(resource.status)(accepted_number=number)
    return attrs.evolve(resource, status=status)
