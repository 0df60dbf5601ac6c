"""The resources that operators write and whose status they watch."""

from collections.abc import Mapping
from typing import Any

import attrs

import cowslipvalve_base as base

OPERATOR_ANNOTATION = "cowslipvalve/operator"


class SearchKind(base.TextEnum):
    """The kind of requests that a search serves."""

    READ = "read"
    ORDER = "order"


class OrderGuard(base.TextEnum):
    """How a non-idempotent request is kept from running twice."""

    CLAIM = "claim"
    TICKET = "ticket"


class Placement(base.TextEnum):
    """Whether operators allow work on a failure domain or server."""

    IN = "in"
    OUT = "out"


class ConditionStatus(base.TextEnum):
    """The status of a condition."""

    TRUE = "True"
    FALSE = "False"
    UNKNOWN = "Unknown"


def _at_least(minimum: float) -> Any:
    return attrs.validators.ge(minimum)


def _between(minimum: float, maximum: float) -> Any:
    return attrs.validators.and_(
        attrs.validators.ge(minimum), attrs.validators.le(maximum)
    )


@attrs.frozen(kw_only=True)
class Metadata:
    """The metadata that the platform keeps for every object."""

    # The name is unique within the kind.
    name: str = attrs.field(
        validator=attrs.validators.matches_re(r"[a-z0-9]([-a-z0-9.]*[a-z0-9])?")
    )
    # The version, which the platform changes at every write.
    resource_version: int = 0
    # The number of changes to the spec, counted by the platform.
    generation: int = 0
    # Free text by key, such as the operator's name.
    annotations: Mapping[str, str] = attrs.field(factory=dict)

    @property
    def operator(self) -> str:
        """The operator who wrote the object, "unknown" if not stated."""
        return self.annotations.get(OPERATOR_ANNOTATION, "unknown")


@attrs.frozen(kw_only=True)
class Condition:
    """One aspect of a resource's state."""

    # The name of the aspect, such as "Accepted".
    type: str
    # Whether the aspect holds.
    status: ConditionStatus
    # A short constant for programs to read.
    reason: str = ""
    # A sentence for people to read.
    message: str = ""


@attrs.frozen(kw_only=True)
class Status:
    """The fields that the status of every resource has."""

    # The generation of the spec that the status describes.
    observed_generation: int = 0
    # The number of the accepted configuration that includes that spec.
    accepted_number: int = 0
    # One entry per aspect, by type.
    conditions: tuple[Condition, ...] = ()


@attrs.frozen(kw_only=True)
class SearchSpec:
    """How a search serves its callers, as set by operators."""

    # Whether requests may run more than once.
    kind: SearchKind = SearchKind.READ
    # How an order is kept from running twice; no effect on reads.
    order_guard: OrderGuard = OrderGuard.TICKET
    # The deadline of requests that give none, in ms.
    deadline_ms: int = attrs.field(default=1_000, validator=_at_least(1))
    # The longest deadline that a caller may give, in ms.
    max_deadline_ms: int = attrs.field(default=60_000, validator=_at_least(1))
    # The share of answered shards below which the outcome is a failure.
    min_coverage: float = attrs.field(default=0.0, validator=_between(0, 1))
    # The time after which an answer is returned without the shards that have
    # not answered, in ms; zero waits for the deadline.
    patience_ms: int = attrs.field(default=0, validator=_at_least(0))
    # The share of extra attempts that retries and hedges may add.
    extra_load: float = attrs.field(default=0.05, validator=_between(0, 1))
    # Whether slow shards are queried again on another replica.
    hedge: bool = True
    # Whether an unknown request body is tried on one shard first.
    canary: bool = True
    # The number of best hits that an answer includes.
    top_hits: int = attrs.field(default=10, validator=_between(1, 1_000))


@attrs.frozen(kw_only=True)
class SearchStatus(Status):
    """The state of a search as the hosts see it."""

    # The number of the newest complete snapshot, or else of the snapshot with
    # the best coverage.
    snapshot: int = 0
    # The share of the snapshot's shards that some server holds.
    coverage: float = 0.0


@attrs.frozen(kw_only=True)
class Search:
    """A search that callers may use."""

    metadata: Metadata
    spec: SearchSpec = SearchSpec()
    status: SearchStatus = SearchStatus()


@attrs.frozen(kw_only=True)
class WarmUp:
    """How the rate to a freshly started backend server increases."""

    # The rate that a cold server can take, in shard queries per second.
    initial_rate: float = attrs.field(
        default=10.0, validator=_between(0.1, 1e6)
    )
    # The time in which the rate doubles while the server answers well, in ms.
    doubling_ms: int = attrs.field(default=500, validator=_at_least(1))
    # The rate at which the server counts as warm, in shard queries per second.
    full_rate: float = attrs.field(default=160.0, validator=_between(0.1, 1e6))


@attrs.frozen(kw_only=True)
class BackendServerSpec:
    """The location, placement and capacity of a backend server."""

    # The failure domain of the server.
    failure_domain: str
    # The host and port of its HTTP interface.
    address: str = attrs.field(
        validator=attrs.validators.matches_re(r"[^\s:/]+:[0-9]{1,5}")
    )
    # The names of the searches whose shards the server may hold.
    searches: tuple[str, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    # The number of requests that the server runs at a time.
    slots: int = attrs.field(default=2, validator=_between(1, 10_000))
    # The number of connections that the server accepts.
    max_connections: int = attrs.field(
        default=25, validator=_between(1, 100_000)
    )
    # Whether operators allow work on the server.
    placement: Placement = Placement.IN
    # How the server is brought up to full load after a start.
    warm_up: WarmUp = WarmUp()


@attrs.frozen(kw_only=True)
class BackendServerStatus(Status):
    """The state of a backend server as its home sees it."""

    # The name of the host that sends work to the server.
    home: str = ""
    # One of serving, warming, draining, unreachable and out.
    state: str = ""


@attrs.frozen(kw_only=True)
class BackendServer:
    """A backend server, which holds shards."""

    metadata: Metadata
    spec: BackendServerSpec
    status: BackendServerStatus = BackendServerStatus()


@attrs.frozen(kw_only=True)
class FailureDomainSpec:
    """The placement and region of a failure domain."""

    # Whether operators allow work in the domain.
    placement: Placement = Placement.IN
    # The name of the region; domains of one region are near each other.
    region: str = ""


@attrs.frozen(kw_only=True)
class FailureDomainStatus(Status):
    """The state of a failure domain as the hosts see it."""

    # The names of the live hosts in the domain.
    hosts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class FailureDomain:
    """A set of hosts and servers that fail together."""

    metadata: Metadata
    spec: FailureDomainSpec = FailureDomainSpec()
    status: FailureDomainStatus = FailureDomainStatus()


Resource = Search | BackendServer | FailureDomain

KINDS: Mapping[str, type[Search] | type[BackendServer] | type[FailureDomain]]
KINDS = {
    "Search": Search,
    "BackendServer": BackendServer,
    "FailureDomain": FailureDomain,
}
