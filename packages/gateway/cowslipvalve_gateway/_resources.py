"""What operators declare: routes, services and out-of-service domains."""

import enum

import attrs

_SHARE_TOLERANCE = 1e-9  # Shares such as 0.7 have no exact binary form.


@attrs.frozen(kw_only=True)
class Share:
    """One service of a weighted split."""

    # The name of the service.
    service: str
    # The part of the requests, relative to the other shares of the split.
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Where the requests of one host name and path prefix go."""

    # The name of the route, unique in a routing table.
    name: str
    # The host name that callers ask for.
    host: str
    # The path prefix; it begins and ends with a slash.
    path_prefix: str
    # Whether a request may run more than once.
    is_idempotent: bool
    # The longest time for which a caller is kept waiting.
    timeout_ms: float
    # The time within which an answer is worth most to the caller.
    target_ms: float
    # The most servers of one service that one request may be sent to.
    max_attempts: int
    # The services of a single-server route; one of them serves a request.
    split: tuple[Share, ...] = ()
    # The services of a fan-out route; all of them serve a request.
    shards: tuple[str, ...] = ()
    # The number of records in a merged answer.
    top_records: int = 0
    # The least share of the shards that makes a merged answer a success.
    min_coverage: float = 0.0
    # The rank of the route, 0 is served first.
    priority: int = 0
    # The regions whose servers may be used, all if empty.
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_fan_out(self) -> bool:
        """Whether a request goes to every shard."""
        return bool(self.shards)

    @property
    def services(self) -> tuple[str, ...]:
        """Returns the names of all services of the route."""
        return self.shards or tuple(share.service for share in self.split)

    def meets_coverage(self, parts: int) -> bool:
        """Whether so many parts of a fan-out make an answer a success."""
        if parts == 0:
            return False
        share = parts / len(self.shards)
        return share >= self.min_coverage - _SHARE_TOLERANCE


@attrs.frozen(kw_only=True)
class Service:
    """A group of servers that answer the same requests."""

    # The name of the service.
    name: str
    # The most connections that each server accepts from all hosts together.
    max_connections: int
    # The requests a second that a cold server bears, 0 for no bound.
    cold_rate: float = 0.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and for how long it may stay idle."""

    # The longest request line with its headers.
    max_header_bytes: int = 16_384
    # The longest request body.
    max_body_bytes: int = 262_144
    # The longest time between two requests on one connection.
    idle_timeout_ms: float = 75_000.0


@attrs.frozen(kw_only=True)
class RoutingTable:
    """One version of all routes and services."""

    # The version; a higher one replaces a lower one.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # The services by their names.
    services: dict[str, Service]
    # What callers may send.
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, if any."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if not found or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found


class ServerState(enum.Enum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Server:
    """One incarnation of a backend server."""

    # The identity that the server checks before it runs a request.
    instance_id: str
    # The name of its service.
    service: str
    # Its IP address and port.
    address: str
    # The failure domain that it is in.
    domain: str
    # Whether it takes new work.
    state: ServerState
    # The requests that it runs at a time.
    slots: int
    # How much longer it stays cold, counted from when it said so.
    cold_ms: float = 0.0
    # The Unix time of its start in ms; the same identity may start again.
    started_ms: int = 0
    # The number of its heartbeat within an incarnation.
    sequence: int = 0

    def is_older_than(self, other: "Server") -> bool:
        """Whether this was said before what the other says."""
        mine = (self.started_ms, self.sequence)
        return mine < (other.started_ms, other.sequence)


@attrs.frozen(kw_only=True)
class HostRecord:
    """One host of the deployment."""

    # The name of the host.
    name: str
    # The failure domain that it is in.
    domain: str
    # Where the other hosts ask it for state; empty if nobody can.
    state_address: str
