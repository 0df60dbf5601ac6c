"""What hosts tell each other about themselves and their servers."""

from collections.abc import Mapping

import attrs

import cowslipvalve_base as base
from cowslipvalve_model import _shards


class HostState(base.TextEnum):
    """The stages of a host's life."""

    # It waits until every older lease has ended.
    JOINING = "joining"
    # It may be home to servers.
    LIVE = "live"
    # It gives its servers away and takes no more.
    LEAVING = "leaving"
    # Its heartbeats have ended.
    DEAD = "dead"


@attrs.frozen
class HeartbeatRecord:
    """One host's heartbeat record, kept by all hosts of its domain."""

    # The name of the host.
    host: str
    # Grows with every start of the host.
    incarnation: int
    # Grows by one with every heartbeat of this incarnation.
    number: int
    # The number of the first heartbeat with the present state.
    state_since: int
    # The stage that the host is in.
    state: HostState
    # The heartbeats seen of the others: incarnation and number by host.
    seen: Mapping[str, tuple[int, int]]
    # Servers that it still has work on without being their home.
    holding: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HostRecord:
    """Where a host is and whether it is alive."""

    # The name of the host.
    host: str
    # Grows with every start of the host.
    incarnation: int
    # The failure domain it lives in.
    failure_domain: str
    # The region of that domain.
    region: str
    # The host and port on which it hears its peers.
    address: str
    # The stage that it is in.
    state: HostState


class ServerCondition(base.TextEnum):
    """What the home of a server makes of it."""

    SERVING = "serving"
    WARMING = "warming"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    OUT = "out"


@attrs.frozen(kw_only=True)
class ServerRecord:
    """What the home of a server tells all entries about it."""

    # The name of the server.
    server: str
    # The host that is its home.
    home: str
    # The incarnation of that host.
    incarnation: int
    # Whether it takes work.
    condition: ServerCondition
    # The shards that it holds.
    holdings: tuple[_shards.Holding, ...] = ()


@attrs.frozen(kw_only=True)
class PlacementRecord:
    """An operator's urgent change, ahead of the accepted configuration."""

    # The kind of the resource, FailureDomain or BackendServer.
    kind: str
    # The name of the resource.
    name: str
    # The version of the resource that said so.
    resource_version: int
    # Whether it is to have no work.
    out: bool


@attrs.frozen(kw_only=True)
class QuarantineRecord:
    """A request body that crashes the servers that run it."""

    # Names the body among all bodies.
    fingerprint: str
    # The name of the search.
    search: str
    # The servers that it crashed.
    servers: tuple[str, ...]


Record = HostRecord | ServerRecord | PlacementRecord | QuarantineRecord


@attrs.frozen
class VersionedRecord:
    """A record in the table that all hosts share, with its version."""

    # A higher version replaces a lower one.
    version: int
    # Exactly one of the following is given.
    host: HostRecord | None = None
    # What a home tells about a server.
    server: ServerRecord | None = None
    # An operator's urgent change.
    placement: PlacementRecord | None = None
    # A body that crashes servers.
    quarantine: QuarantineRecord | None = None


@attrs.frozen(kw_only=True)
class Heartbeat:
    """What a host sends to a peer, and what the peer returns."""

    # The name of the sender.
    sender: str
    # The incarnation of the sender.
    incarnation: int
    # The number of the sender's accepted configuration.
    number: int
    # The heartbeat records that the sender knows of its own domain.
    beats: tuple[HeartbeatRecord, ...] = ()
    # Records that are new to the receiver.
    entries: tuple[VersionedRecord, ...] = ()
    # The incarnation of the receiver that the next number speaks of.
    receiver_incarnation: int = 0
    # Up to which of the receiver's changes the sender has them.
    received: int = 0
    # Up to which of its own changes this message goes.
    sent: int = 0
