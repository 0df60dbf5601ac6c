"""Snapshots of indexes, and the shards that servers hold."""

import attrs


@attrs.frozen
class Snapshot:
    """A version of a search's index and its partitioning."""

    # The name of the search.
    search: str
    # The number of the index version; a newer one is higher.
    number: int
    # The number of shards that the index is split into.
    count: int


@attrs.frozen
class Holding:
    """The shards of one snapshot that one server holds."""

    # The snapshot that the shards belong to.
    snapshot: Snapshot
    # The numbers of the shards, from zero.
    indices: tuple[int, ...]
