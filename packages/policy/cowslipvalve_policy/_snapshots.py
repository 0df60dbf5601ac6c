"""Choice of the snapshot from which a query is answered."""

from collections.abc import Iterable, Mapping

import attrs

import cowslipvalve_model as model


@attrs.frozen
class SnapshotView:
    """Which servers hold each shard of one snapshot."""

    snapshot: model.Snapshot
    # The names of the servers by shard index. No server holds a shard whose
    # index is missing.
    servers: Mapping[int, tuple[str, ...]]

    @property
    def coverage(self) -> float:
        """The fraction of shards that at least one server holds."""
        return len(self.servers) / self.snapshot.count


def collect_snapshots(
    search: str, records: Iterable[model.ServerRecord]
) -> tuple[SnapshotView, ...]:
    """Returns the snapshots of a search that servers hold, newest first."""
    found: dict[model.Snapshot, dict[int, list[str]]] = {}
    for record in records:
        for holding in record.holdings:
            if holding.snapshot.search != search:
                continue
            shards = found.setdefault(holding.snapshot, {})
            for index in holding.indices:
                if 0 <= index < holding.snapshot.count:
                    shards.setdefault(index, []).append(record.server)
    views = [
        SnapshotView(
            snapshot, {index: tuple(names) for index, names in shards.items()}
        )
        for snapshot, shards in found.items()
    ]
    views.sort(key=lambda view: view.snapshot.number, reverse=True)
    return tuple(views)


def choose_snapshot(
    views: Iterable[SnapshotView], newer_than: int = -1
) -> SnapshotView | None:
    """Returns the newest fully covered snapshot, else the best covered one.

    Args:
      views: The snapshots, newest first.
      newer_than: Only snapshots with a higher number are considered.
    """
    best = None
    for view in views:
        if view.snapshot.number <= newer_than:
            continue
        if best is None or view.coverage > best.coverage:
            best = view
        if view.coverage >= 1.0:
            break
    return best
