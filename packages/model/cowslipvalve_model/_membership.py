"""Records and heartbeats that hosts exchange about hosts and servers."""

from collections.abc import Mapping

import attrs

import cowslipvalve_base as base
from cowslipvalve_model import _shards


class HostState(base.TextEnum):
    """The lifecycle states of a host."""

    # The host waits until every older lease has ended.
    JOINING = "joining"
    # The host may be home to servers.
    LIVE = "live"
    # The host hands its servers over to other homes and takes no new ones.
    LEAVING = "leaving"
    # The host's heartbeats have stopped.
    DEAD = "dead"


@attrs.frozen
class HeartbeatRecord:
    """A heartbeat of one host, kept by all hosts of its failure domain."""

    # The name of the host.
    host: str
    # Increases with every start of the host.
    incarnation: int
    # Increases by one with every heartbeat of this incarnation.
    number: int
    # The number of the first heartbeat with the current state.
    state_since: int
    # The lifecycle state of the host.
    state: HostState
    # The newest heartbeat that the host has seen of each other host:
    # incarnation and number by host name.
    seen: Mapping[str, tuple[int, int]]
    # Servers on which the host still has work without being their home.
    holding: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HostRecord:
    """The location and lifecycle state of a host."""

    # The name of the host.
    host: str
    # Increases with every start of the host.
    incarnation: int
    # The failure domain of the host.
    failure_domain: str
    # The region of that domain.
    region: str
    # The host and port on which the host listens for its peers.
    address: str
    # The lifecycle state of the host.
    state: HostState


class ServerCondition(base.TextEnum):
    """The condition of a server as its home sees it."""

    SERVING = "serving"
    WARMING = "warming"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    OUT = "out"


@attrs.frozen(kw_only=True)
class ServerRecord:
    """The report of a home to all entry hosts about one of its servers."""

    # The name of the server.
    server: str
    # The host that is its home.
    home: str
    # The incarnation of that host.
    incarnation: int
    # The condition, which decides whether the server gets work.
    condition: ServerCondition
    # The shards that the server holds.
    holdings: tuple[_shards.Holding, ...] = ()


@attrs.frozen(kw_only=True)
class PlacementRecord:
    """An operator's placement change, applied before it is accepted."""

    # The kind of the resource, FailureDomain or BackendServer.
    kind: str
    # The name of the resource.
    name: str
    # The version of the resource that holds the change.
    resource_version: int
    # Whether the resource is to get no work.
    out: bool


@attrs.frozen(kw_only=True)
class QuarantineRecord:
    """A request body that crashes the servers that run it."""

    # Identifies the body.
    fingerprint: str
    # The name of the search.
    search: str
    # The names of the servers that the body crashed.
    servers: tuple[str, ...]


Record = HostRecord | ServerRecord | PlacementRecord | QuarantineRecord


@attrs.frozen
class VersionedRecord:
    """A record of the table that all hosts share, with its version.

    Exactly one of the records is given.
    """

    # A higher version replaces a lower one.
    version: int
    # A host's location and lifecycle state.
    host: HostRecord | None = None
    # A home's report about a server.
    server: ServerRecord | None = None
    # An operator's placement change.
    placement: PlacementRecord | None = None
    # A request body that crashes servers.
    quarantine: QuarantineRecord | None = None


@attrs.frozen(kw_only=True)
class Heartbeat:
    """The message that a host sends to a peer, and the peer's reply."""

    # The name of the sender.
    sender: str
    # The incarnation of the sender.
    incarnation: int
    # The number of the sender's accepted configuration.
    number: int
    # Heartbeats of hosts in the sender's failure domain that the receiver may
    # lack, the sender's own included.
    beats: tuple[HeartbeatRecord, ...] = ()
    # Records that are new to the receiver.
    entries: tuple[VersionedRecord, ...] = ()
    # The incarnation of the receiver to which `received` refers.
    receiver_incarnation: int = 0
    # The sender has all changes of the receiver up to this number.
    received: int = 0
    # With this message, the receiver has all changes of the sender up to this
    # number.
    sent: int = 0
