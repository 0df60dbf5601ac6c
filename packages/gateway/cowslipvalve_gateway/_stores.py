"""What the product needs of the platform's store."""

import enum
from typing import Protocol

import attrs


class Kind(enum.Enum):
    """The kinds of state that are followed."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    DOMAINS_OUT = "domains-out"


@attrs.frozen(kw_only=True)
class Item:
    """One object, decoded."""

    # The name of the object.
    name: str
    # A RoutingTable, a Server, or None for a kind without content; also None
    # when the object is deleted or cannot be read.
    value: object | None
    # Whether the object is there and can be read.
    is_valid: bool


@attrs.frozen(kw_only=True)
class Listing:
    """Objects of a kind, or their changes, up to a revision."""

    # The objects.
    items: tuple[Item, ...]
    # The store's revision from which a watch goes on.
    revision: int


class StateStore(Protocol):
    """Reads of the platform's store.

    Every method raises PlatformUnavailableError when there is no answer, and
    watch raises HistoryGoneError when the revision is too old.
    """

    async def list_objects(self, kind: Kind) -> Listing:
        """Returns all objects of a kind."""

    async def watch(self, kind: Kind, revision: int, wait_ms: int) -> Listing:
        """Returns the changes after a revision, none after the wait."""

    async def register_host(self, name: str) -> None:
        """Records this host among the hosts of the deployment."""

    async def unregister_host(self, name: str) -> None:
        """Removes the record of this host."""

    async def count_hosts(self) -> int:
        """Returns the number of recorded hosts."""
