"""The interface to the platform's store, and the objects that it holds."""

import enum
from typing import Protocol

import attrs

from cowslipvalve_gateway import _resources


class StateKind(enum.Enum):
    """The kinds of objects that hosts list and watch."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    DOMAINS_OUT = "domains-out"
    HOSTS = "hosts"


@attrs.frozen(order=True)
class Position:
    """A point in the store's history.

    Attributes:
      era: Rises whenever the store is restored from a copy, which takes its
        revisions back.
      revision: Rises with each change in an era.
    """

    era: int
    revision: int


NO_POSITION = Position(era=-1, revision=-1)


@attrs.frozen(kw_only=True)
class StateItem:
    """One decoded object; at most one of table, server and host is set."""

    # The name of the object.
    name: str
    # Whether the object exists and could be decoded.
    is_valid: bool
    # The content of an object of the kind CONFIGURATION.
    table: _resources.RoutingTable | None = None
    # The content of an object of the kind SERVERS.
    server: _resources.Server | None = None
    # The content of an object of the kind HOSTS.
    host: _resources.HostRecord | None = None


@attrs.frozen(kw_only=True)
class StateListing:
    """All objects of a kind, or the changes to them, up to a revision."""

    # The objects.
    items: tuple[StateItem, ...]
    # The store's revision after which a watch continues.
    revision: int
    # Whether the items are all objects of the kind, not only the changes.
    is_whole: bool
    # The era of the revision; None if the sender states none.
    era: int | None = None

    def get_position(self, known_era: int) -> Position:
        """Returns the position; without an era, one in a known era."""
        era = max(0, known_era) if self.era is None else self.era
        return Position(era=era, revision=self.revision)


class StateStore(Protocol):
    """Access to the platform's store.

    Every method raises PlatformUnavailableError when there is no answer, and
    watch raises HistoryGoneError when the revision is too old.
    """

    async def list_objects(self, kind: StateKind) -> StateListing:
        """Returns all objects of a kind."""

    async def watch(
        self, kind: StateKind, revision: int, wait_ms: int
    ) -> StateListing:
        """Returns the changes after a revision, or none after the wait."""

    async def probe(self, timeout_ms: float) -> int | None:
        """Checks that the store answers, at a tenth of another call's cost.

        Returns:
          The era that the answer states, None if it states none.
        """

    async def register_host(self, record: _resources.HostRecord) -> bool:
        """Adds the record of this host; returns whether there was none."""

    async def unregister_host(self, name: str) -> None:
        """Removes the record of this host."""
