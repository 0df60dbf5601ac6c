"""The state that a host knows and its latest changes, for other hosts."""

import asyncio
from collections.abc import Mapping

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _stores

_MAX_DELETIONS = 1_000  # Two replacements of a large site's servers.

Positions = Mapping[_stores.StateKind, _stores.Position]


@attrs.frozen
class _Entry:
    """An object or its deletion, and the revision that reported it."""

    revision: int
    item: _stores.StateItem
    # The item, of a deletion with the last content that was known.
    last: _stores.StateItem


class _KindLog:
    """The objects and recent deletions of one kind."""

    def __init__(self) -> None:
        self.position = _stores.NO_POSITION
        # A reader at an earlier revision needs a whole listing.
        self._oldest_delta_revision = -1
        # By name, in the order of their last change.
        self._entries: dict[str, _Entry] = {}
        self._deletions = 0

    def list_last(self) -> dict[str, _stores.StateItem]:
        """Returns all objects and deletions, these with their last content."""
        return {name: entry.last for name, entry in self._entries.items()}

    def replace(self, item: _stores.StateItem) -> None:
        """Replaces an object without a new revision, for later readers."""
        self._entries[item.name] = _Entry(self.position.revision, item, item)

    def add(
        self, position: _stores.Position, listing: _stores.StateListing
    ) -> None:
        """Adds a listing; one of a later era is whole."""
        if position.era != self.position.era:
            # Revisions of the era before mean other changes.
            self._oldest_delta_revision = position.revision
        items = self._find_changes(listing)
        self.position = position
        for item in items:
            old = self._entries.pop(item.name, None)
            if old is not None and not old.item.is_valid:
                self._deletions -= 1
            if not item.is_valid:
                self._deletions += 1
            last = item
            if old is not None and not item.is_valid:
                last = attrs.evolve(old.last, is_valid=False)
            self._entries[item.name] = _Entry(position.revision, item, last)
        if self._deletions > _MAX_DELETIONS:
            self._purge_deletions()

    def _find_changes(
        self, listing: _stores.StateListing
    ) -> tuple[_stores.StateItem, ...]:
        """Returns the changes of a listing, so that readers get only those."""
        if not listing.is_whole:
            return listing.items
        names = {item.name for item in listing.items}
        changed = [
            item
            for item in listing.items
            if item.name not in self._entries
            or self._entries[item.name].item != item
        ]
        deleted = [
            _stores.StateItem(name=name, is_valid=False)
            for name, entry in self._entries.items()
            if name not in names and entry.item.is_valid
        ]
        return (*changed, *deleted)

    def read_after(self, position: _stores.Position) -> _stores.StateListing:
        """Returns what a reader at a position lacks."""
        is_whole = self._needs_whole(position)
        items = tuple(
            entry.item
            for entry in self._entries.values()
            if (
                entry.item.is_valid
                if is_whole
                else entry.revision > position.revision
            )
        )
        return _stores.StateListing(
            items=items,
            revision=self.position.revision,
            era=self.position.era,
            is_whole=is_whole,
        )

    def has_changes_after(self, position: _stores.Position) -> bool:
        """Whether a reader lacks a change; runs on every poll of a follower."""
        if self.position <= position:
            return False
        if self._needs_whole(position) or not self._entries:
            return self._needs_whole(position)
        last = self._entries[next(reversed(self._entries))]
        return last.revision > position.revision

    def _needs_whole(self, position: _stores.Position) -> bool:
        return (
            position.era != self.position.era
            or position.revision < self._oldest_delta_revision
        )

    def _purge_deletions(self) -> None:
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.item.is_valid
        }
        self._deletions = 0
        self._oldest_delta_revision = self.position.revision


class StateLog:
    """The logs of all kinds of state; positions never decrease."""

    def __init__(self) -> None:
        self._logs = {kind: _KindLog() for kind in _stores.StateKind}
        self._changed = asyncio.Event()

    @property
    def positions(self) -> dict[_stores.StateKind, _stores.Position]:
        """The position of each kind that is known."""
        return {
            kind: log.position
            for kind, log in self._logs.items()
            if log.position > _stores.NO_POSITION
        }

    @property
    def era(self) -> int:
        """The latest era of the store that is known."""
        return max(log.position.era for log in self._logs.values())

    def is_behind(self, era: int) -> bool:
        """Whether the state of some kind is of an earlier era."""
        return any(position.era < era for position in self.positions.values())

    def position(self, kind: _stores.StateKind) -> _stores.Position | None:
        """Returns the known position of a kind, None if there is none."""
        return self.positions.get(kind)

    def list_last(
        self, kind: _stores.StateKind
    ) -> dict[str, _stores.StateItem]:
        """Returns all objects and deletions, these with their last content."""
        return self._logs[kind].list_last()

    def read_all(self, kind: _stores.StateKind) -> _stores.StateListing:
        """Returns a whole listing of a kind."""
        return self._logs[kind].read_after(_stores.NO_POSITION)

    def replace(self, kind: _stores.StateKind, item: _stores.StateItem) -> None:
        """Replaces an object without a new revision, for later readers."""
        self._logs[kind].replace(item)

    def is_restored(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> bool:
        """Whether a listing is of a later era than the known state."""
        known = self._logs[kind].position
        if known == _stores.NO_POSITION:
            return False
        return listing.get_position(known.era).era > known.era

    def add(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> bool:
        """Adds a listing; returns False if it is older than the known state.

        Changes of a later era are refused too, as they lack what else has
        changed with the store.
        """
        log = self._logs[kind]
        position = listing.get_position(log.position.era)
        if position < log.position:
            return False
        if self.is_restored(kind, listing) and not listing.is_whole:
            return False
        is_restored = position.era > log.position.era
        log.add(position, listing)
        if listing.items or is_restored:
            self._changed.set()
            self._changed = asyncio.Event()
        return True

    def read_after(
        self, positions: Positions
    ) -> dict[_stores.StateKind, _stores.StateListing]:
        """Returns the listings that a reader at the given positions lacks."""
        return {
            kind: log.read_after(positions.get(kind, _stores.NO_POSITION))
            for kind, log in self._logs.items()
            if log.position > positions.get(kind, _stores.NO_POSITION)
        }

    async def wait_for_changes(
        self, positions: Positions, timeout_ms: float
    ) -> None:
        """Waits for changes after the given positions, until the timeout."""
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                while not self._has_changes_after(positions):
                    await self._changed.wait()
        except TimeoutError:
            return  # The reader gets a message without changes.

    def _has_changes_after(self, positions: Positions) -> bool:
        return any(
            log.has_changes_after(positions.get(kind, _stores.NO_POSITION))
            for kind, log in self._logs.items()
        )


def create_state_log() -> StateLog:
    """Creates an empty log."""
    return StateLog()
