"""What the product needs of the platform's store."""

import enum
from typing import Protocol

import attrs

from cowslipvalve_gateway import _resources


class StateKind(enum.Enum):
    """The kinds of state that are followed."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    DOMAINS_OUT = "domains-out"
    HOSTS = "hosts"


@attrs.frozen(kw_only=True)
class StateItem:
    """One object, decoded; at most one of the contents is there."""

    # The name of the object.
    name: str
    # Whether the object is there and can be read.
    is_valid: bool
    # What an object of the kind CONFIGURATION holds.
    table: _resources.RoutingTable | None = None
    # What an object of the kind SERVERS holds.
    server: _resources.Server | None = None
    # What an object of the kind HOSTS holds.
    host: _resources.HostRecord | None = None


@attrs.frozen(kw_only=True)
class StateListing:
    """Objects of a kind, or their changes, up to a revision."""

    # The objects.
    items: tuple[StateItem, ...]
    # The store's revision from which a watch goes on.
    revision: int
    # Whether objects that are not named do not exist.
    is_whole: bool


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
        """Returns the changes after a revision, none after the wait."""

    async def probe(self, timeout_ms: float) -> None:
        """Returns if the store answers; costs a tenth of another call."""

    async def register_host(self, record: _resources.HostRecord) -> None:
        """Records this host among the hosts of the deployment."""

    async def unregister_host(self, name: str) -> None:
        """Removes the record of this host."""
