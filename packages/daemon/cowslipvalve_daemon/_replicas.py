"""Finds the replicas of a search's shards and chooses among them."""

import collections
import random
from collections.abc import Callable, Iterable

import attrs

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _settings

_OTHER_DOMAIN_RTT_MS = 10.0  # To another failure domain of the region.
_OTHER_REGION_RTT_MS = 40.0
# Added to the cost of a warming server, so that the server is chosen only for
# shards without another usable replica. The share below of the choices omits
# the penalty, since a server warms up only by running queries.
_WARMING_PENALTY_MS = 1_000.0
_WARMING_REQUEST_SHARE = 0.2
# The expected wait behind one outstanding shard query of this host.
_OUTSTANDING_QUERY_MS = 5.0
_LATENCY_SAMPLE_WEIGHT = 0.3
_LATENCY_HALF_LIFE_MS = 5_000.0
_USABLE_CONDITIONS = frozenset(
    {model.ServerCondition.SERVING, model.ServerCondition.WARMING}
)


@attrs.frozen
class Replica:
    """A server that can answer for a shard."""

    # The name of the server.
    server: str
    # The name of the host that sends work to the server.
    home: str


class ReplicaDirectory:
    """Finds and chooses replicas from the records that homes publish.

    Snapshot views are cached until a record or the configuration changes,
    round-trip estimates until the configuration changes.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        table: peers.RecordTable,
        configurations: _configurations.ConfigurationHolder,
        is_reachable: Callable[[str], bool],
        clock: model.Clock,
    ) -> None:
        self._settings = settings
        self._table = table
        self._configurations = configurations
        self._is_reachable = is_reachable
        self._clock = clock
        self._latencies: dict[str, tuple[float, float]] = {}
        self._views: dict[str, tuple[policy.SnapshotView, ...]] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._rtts_ms: dict[str, float] = {}
        table.add_listener(self._handle_entry)
        configurations.add_listener(self._clear_caches)

    def views(self, search: str) -> tuple[policy.SnapshotView, ...]:
        """Returns the snapshots that usable servers hold, newest first."""
        if search not in self._views:
            self._views[search] = policy.collect_snapshots(
                search, self._usable_records(search)
            )
        return self._views[search]

    def choose(
        self, servers: Iterable[str], excluded: Iterable[str]
    ) -> Replica | None:
        """Returns the replica that is expected to answer first.

        Returns None if no replica is usable.

        Args:
          servers: The names of the servers to choose from.
          excluded: The names of servers that must not be chosen.
        """
        best: tuple[float, Replica] | None = None
        for name in servers:
            if name in excluded:
                continue
            record = self._find_record(name)
            if record is None or not self._is_usable(record):
                continue
            if not self._is_reachable(record.home):
                continue
            cost = self._cost_ms(record)
            if best is None or cost < best[0]:
                best = (cost, Replica(name, record.home))
        return best[1] if best else None

    def find_replica(self, server: str) -> Replica | None:
        """Returns a server with its current home, None if it is not usable."""
        return self.choose((server,), ())

    def list_declared_servers(self, search: str) -> tuple[str, ...]:
        """Returns the servers that the configuration declares for a search."""
        return tuple(
            name
            for name, server in self._configurations.current.servers.items()
            if search in server.spec.searches
        )

    def add_latency(self, server: str, latency_ms: float) -> None:
        """Records how long a shard query took, or has taken so far."""
        old_ms = self._decayed_latency_ms(server)
        average_ms = old_ms + _LATENCY_SAMPLE_WEIGHT * (latency_ms - old_ms)
        self._latencies[server] = (average_ms, self._clock.now_ms())

    def _decayed_latency_ms(self, server: str) -> float:
        """Returns the average latency of a server, 0 if it has no samples.

        The average decays while the server is not used, so that a server that
        was slow is tried again later.
        """
        if server not in self._latencies:
            return 0.0
        average_ms, updated_ms = self._latencies[server]
        age_ms = self._clock.now_ms() - updated_ms
        return float(average_ms * 0.5 ** (age_ms / _LATENCY_HALF_LIFE_MS))

    def add_outstanding(self, server: str, count: int) -> None:
        """Changes the number of unanswered shard queries of a server.

        Args:
          server: The name of the server.
          count: The change, negative for queries that have ended.
        """
        self._outstanding[server] += count

    def _usable_records(self, search: str) -> Iterable[model.ServerRecord]:
        declared = set(self.list_declared_servers(search))
        for entry in self._table.entries("server"):
            record = entry.server
            if record is None or record.server not in declared:
                continue
            if self._is_usable(record):
                yield record

    def _is_usable(self, record: model.ServerRecord) -> bool:
        server = self._configurations.current.servers.get(record.server)
        if server is None or record.condition not in _USABLE_CONDITIONS:
            return False
        return not self._configurations.is_server_out(server)

    def _find_record(self, name: str) -> model.ServerRecord | None:
        entry = self._table.get(("server", name))
        return entry.server if entry else None

    def _cost_ms(self, record: model.ServerRecord) -> float:
        server = self._configurations.current.servers[record.server]
        waiting = self._outstanding[record.server] / server.spec.slots
        cost_ms = max(
            self._rtt_ms(server), self._decayed_latency_ms(record.server)
        )
        cost_ms += waiting * _OUTSTANDING_QUERY_MS
        is_warming = record.condition is model.ServerCondition.WARMING
        if is_warming and random.random() >= _WARMING_REQUEST_SHARE:
            cost_ms += _WARMING_PENALTY_MS
        return cost_ms + random.random()

    def _rtt_ms(self, server: model.BackendServer) -> float:
        name = server.spec.failure_domain
        if name not in self._rtts_ms:
            self._rtts_ms[name] = self._estimate_rtt_ms(name)
        return self._rtts_ms[name]

    def _estimate_rtt_ms(self, name: str) -> float:
        if name == self._settings.failure_domain:
            return 0.0
        domain = self._configurations.current.domains.get(name)
        region = domain.spec.region if domain else ""
        if region == self._settings.region:
            return _OTHER_DOMAIN_RTT_MS
        return _OTHER_REGION_RTT_MS

    def _handle_entry(self, entry: model.VersionedRecord) -> None:
        if entry.quarantine is None:
            self._views.clear()

    def _clear_caches(self) -> None:
        self._views.clear()
        self._rtts_ms.clear()


def create_replica_directory(
    settings: _settings.Settings,
    table: peers.RecordTable,
    configurations: _configurations.ConfigurationHolder,
    is_reachable: Callable[[str], bool],
    clock: model.Clock,
) -> ReplicaDirectory:
    """Returns the replica directory of a host."""
    return ReplicaDirectory(
        settings, table, configurations, is_reachable, clock
    )
