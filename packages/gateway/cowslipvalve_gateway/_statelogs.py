"""The state that a host knows and its latest changes, for other hosts."""

import asyncio
from collections.abc import Mapping

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _stores

_MAX_DELETIONS = 1_000  # Two replacements of a large site's servers.

Revisions = Mapping[_stores.StateKind, int]


@attrs.frozen
class _Entry:
    """An object or its deletion, and the revision that reported it."""

    revision: int
    item: _stores.StateItem


class _KindLog:
    """The objects and recent deletions of one kind."""

    def __init__(self) -> None:
        self.revision = -1
        # A reader at an earlier revision needs a whole listing.
        self._oldest_delta_revision = -1
        # By name, in the order of their last change.
        self._entries: dict[str, _Entry] = {}
        self._deletions = 0

    def add(self, listing: _stores.StateListing) -> None:
        if self.revision < 0:
            self._oldest_delta_revision = listing.revision
        items = self._find_changes(listing)
        self.revision = listing.revision
        for item in items:
            old = self._entries.pop(item.name, None)
            if old is not None and not old.item.is_valid:
                self._deletions -= 1
            if not item.is_valid:
                self._deletions += 1
            self._entries[item.name] = _Entry(listing.revision, item)
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

    def read_after(self, revision: int) -> _stores.StateListing:
        is_whole = revision < self._oldest_delta_revision
        items = tuple(
            entry.item
            for entry in self._entries.values()
            if (entry.item.is_valid if is_whole else entry.revision > revision)
        )
        return _stores.StateListing(
            items=items, revision=self.revision, is_whole=is_whole
        )

    def has_changes_after(self, revision: int) -> bool:
        """Whether a reader lacks a change; runs on every poll of a follower."""
        if revision < self._oldest_delta_revision or not self._entries:
            return revision < self._oldest_delta_revision
        return next(reversed(self._entries.values())).revision > revision

    def _purge_deletions(self) -> None:
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.item.is_valid
        }
        self._deletions = 0
        self._oldest_delta_revision = self.revision


class StateLog:
    """The logs of all kinds of state; revisions never decrease."""

    def __init__(self) -> None:
        self._logs = {kind: _KindLog() for kind in _stores.StateKind}
        self._changed = asyncio.Event()

    @property
    def revisions(self) -> dict[_stores.StateKind, int]:
        """The revision of each kind that is known."""
        return {
            kind: log.revision
            for kind, log in self._logs.items()
            if log.revision >= 0
        }

    def revision(self, kind: _stores.StateKind) -> int | None:
        """Returns the known revision of a kind, None if there is none."""
        revision = self._logs[kind].revision
        return revision if revision >= 0 else None

    def add(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> bool:
        """Adds a listing; returns False if it is older than the known state."""
        log = self._logs[kind]
        if listing.revision < log.revision:
            return False
        log.add(listing)
        if listing.items:
            self._changed.set()
            self._changed = asyncio.Event()
        return True

    def read_after(
        self, revisions: Revisions
    ) -> dict[_stores.StateKind, _stores.StateListing]:
        """Returns the listings that a reader at the given revisions lacks."""
        return {
            kind: log.read_after(revisions.get(kind, -1))
            for kind, log in self._logs.items()
            if log.revision > revisions.get(kind, -1)
        }

    async def wait_for_changes(
        self, revisions: Revisions, timeout_ms: float
    ) -> None:
        """Waits for changes after the given revisions, until the timeout."""
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                while not self._has_changes_after(revisions):
                    await self._changed.wait()
        except TimeoutError:
            return  # The reader gets a message without changes.

    def _has_changes_after(self, revisions: Revisions) -> bool:
        return any(
            log.has_changes_after(revisions.get(kind, -1))
            for kind, log in self._logs.items()
        )


def create_state_log() -> StateLog:
    """Creates an empty log."""
    return StateLog()
