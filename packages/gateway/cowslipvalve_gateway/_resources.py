"""Declared routes and services, and registered servers and hosts."""

import enum

import attrs

_SHARE_TOLERANCE = 1e-9  # Shares such as 0.7 have no exact binary form.


@attrs.frozen(kw_only=True)
class Share:
    """One service of a weighted split."""

    # The name of the service.
    service: str
    # The weight relative to the other shares of the split.
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """The services and limits for requests to one host name and path prefix."""

    # The name of the route, unique in a routing table.
    name: str
    # The host name that callers request.
    host: str
    # The path prefix; it begins and ends with a slash.
    path_prefix: str
    # Whether a request may run more than once.
    is_idempotent: bool
    # The time in ms after which a request ends without an answer.
    timeout_ms: float
    # The target latency in ms, within which callers should have an answer.
    target_ms: float
    # The maximum number of servers of a service that a request is sent to.
    max_attempts: int
    # The services of a single-server route; one of them serves a request.
    split: tuple[Share, ...] = ()
    # The services of a fan-out route; all of them serve a request.
    shards: tuple[str, ...] = ()
    # The maximum number of records in a merged answer.
    top_records: int = 0
    # The least share of the shards that a merged answer must include.
    min_coverage: float = 0.0
    # The priority of the route; 0 is served first.
    priority: int = 0
    # The regions whose servers may be used, all if empty.
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_fan_out(self) -> bool:
        """Whether a request goes to every shard."""
        return bool(self.shards)

    @property
    def services(self) -> tuple[str, ...]:
        """The names of all services of the route."""
        return self.shards or tuple(share.service for share in self.split)

    def meets_coverage(self, parts: int) -> bool:
        """Whether a number of parts reaches the route's minimum coverage."""
        if parts == 0:
            return False
        share = parts / len(self.shards)
        return share >= self.min_coverage - _SHARE_TOLERANCE


@attrs.frozen(kw_only=True)
class Service:
    """A group of servers that answer the same requests."""

    # The name of the service.
    name: str
    # The maximum number of connections that a server accepts from all hosts.
    max_connections: int
    # The requests per second that a cold server can handle; 0 if the service
    # states no bound.
    cold_rate: float = 0.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the requests and the idle connections of callers."""

    # The maximum size of the request line with its headers.
    max_header_bytes: int = 16_384
    # The maximum size of the request body.
    max_body_bytes: int = 262_144
    # The maximum time from the first byte of a head to its last.
    header_timeout_ms: float = 10_000.0
    # The maximum time between two requests on one connection.
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
    # The limits on callers.
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
    """The state that a server reports in its registration."""

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
    # Its failure domain.
    domain: str
    # Whether it accepts new requests.
    state: ServerState
    # The number of requests that it runs concurrently.
    slots: int
    # The remaining warm-up time in ms, counted from this registration.
    cold_ms: float = 0.0
    # The Unix time of its start in ms; an identity may be started again.
    started_ms: int = 0
    # The sequence number of its heartbeat within the incarnation.
    sequence: int = 0

    def is_older_than(self, other: "Server") -> bool:
        """Whether this registration precedes another one of the same server."""
        mine = (self.started_ms, self.sequence)
        return mine < (other.started_ms, other.sequence)


@attrs.frozen(kw_only=True)
class HostRecord:
    """One host of the deployment."""

    # The name of the host.
    name: str
    # Its failure domain.
    domain: str
    # The address at which other hosts read its state and send it requests,
    # empty if there is none.
    state_address: str
    # Its processor capacity in cores of usual speed.
    capacity: float = 1.0
