"""The table of records that all hosts share."""

import itertools
from collections.abc import Callable, Iterator

import attrs

import cowslipvalve_model as model

Key = tuple[str, str]


def get_entry_key(entry: model.VersionedRecord) -> Key:
    """Returns the kind and name under which an entry is stored.

    Raises:
      InputError: The entry holds no record.
    """
    if entry.host is not None:
        return ("host", entry.host.host)
    if entry.server is not None:
        return ("server", entry.server.server)
    if entry.placement is not None:
        return (entry.placement.kind, entry.placement.name)
    if entry.quarantine is not None:
        return ("quarantine", entry.quarantine.fingerprint)
    raise model.InputError("entry holds no record", step="merge-entry")


@attrs.frozen
class _StoredEntry:
    """An entry, the number of its local change and the peer it came from."""

    entry: model.VersionedRecord
    change: int
    source: str


def _precedes(old: model.VersionedRecord, new: model.VersionedRecord) -> bool:
    if old.version != new.version:
        return old.version < new.version
    # Two hosts may write the same version. The order of the encodings makes
    # all hosts keep the same entry.
    return model.encode(old) < model.encode(new)


class RecordTable:
    """Keeps the latest version of each record and finds what a peer lacks.

    Each change has a local number. A peer that confirms a number has all
    changes up to it, so that only later ones are sent to it.

    Attributes:
      last_change: The number of the latest change.
    """

    def __init__(self) -> None:
        self._stored: dict[Key, _StoredEntry] = {}
        self._keys_by_change: dict[int, Key] = {}
        self.last_change = 0
        self._listeners: list[Callable[[model.VersionedRecord], None]] = []

    def add_listener(
        self, listener: Callable[[model.VersionedRecord], None]
    ) -> None:
        """Adds a listener to call with each entry that is merged or written."""
        self._listeners.append(listener)

    def get(self, key: Key) -> model.VersionedRecord | None:
        """Returns the entry of a key, if any."""
        stored = self._stored.get(key)
        return stored.entry if stored else None

    def entries(self, kind: str) -> Iterator[model.VersionedRecord]:
        """Yields the entries of a kind."""
        for key, stored in self._stored.items():
            if key[0] == kind:
                yield stored.entry

    def write(self, entry: model.VersionedRecord) -> None:
        """Stores an entry of this host under a version above the stored one."""
        old = self.get(get_entry_key(entry))
        version = entry.version
        if old is not None:
            version = max(version, old.version + 1)
        self._store(attrs.evolve(entry, version=version), source="")

    def merge(
        self, entries: tuple[model.VersionedRecord, ...], source: str
    ) -> None:
        """Stores the entries of a peer that are newer than the stored ones."""
        for entry in entries:
            old = self.get(get_entry_key(entry))
            if old is None or _precedes(old, entry):
                self._store(entry, source)

    def collect_changes(
        self, since: int, receiver: str, limit: int
    ) -> tuple[tuple[model.VersionedRecord, ...], int]:
        """Returns entries that a peer lacks and the last change they cover.

        Args:
          since: The last change that the peer has confirmed.
          receiver: The peer; entries that came from it are left out.
          limit: The maximum number of entries to return.
        """
        if since >= self.last_change:
            return (), self.last_change
        entries: list[model.VersionedRecord] = []
        for change in self._changes_after(since):
            stored = self._stored[self._keys_by_change[change]]
            if stored.source == receiver:
                continue
            if len(entries) == limit:
                return tuple(entries), change - 1
            entries.append(stored.entry)
        return tuple(entries), self.last_change

    def _changes_after(self, since: int) -> list[int]:
        """Returns later changes in order, without reading earlier ones."""
        newest_first = itertools.takewhile(
            lambda change: change > since, reversed(self._keys_by_change)
        )
        return list(newest_first)[::-1]

    def _store(self, entry: model.VersionedRecord, source: str) -> None:
        key = get_entry_key(entry)
        old = self._stored.get(key)
        if old is not None:
            self._keys_by_change.pop(old.change, None)
        self.last_change += 1
        self._stored[key] = _StoredEntry(entry, self.last_change, source)
        self._keys_by_change[self.last_change] = key
        for listener in self._listeners:
            listener(entry)


def create_record_table() -> RecordTable:
    """Returns an empty table."""
    return RecordTable()
