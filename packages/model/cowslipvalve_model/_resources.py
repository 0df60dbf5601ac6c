"""The resources that operators write and whose status they watch."""

from collections.abc import Mapping
from typing import Any

import attrs

import cowslipvalve_base as base

OPERATOR_ANNOTATION = "cowslipvalve/operator"


class SearchKind(base.TextEnum):
    """What a search does with a request."""

    READ = "read"
    ORDER = "order"


class OrderGuard(base.TextEnum):
    """How a non-idempotent request is kept from running twice."""

    CLAIM = "claim"
    TICKET = "ticket"


class Placement(base.TextEnum):
    """Whether operators let work go to a domain or server."""

    IN = "in"
    OUT = "out"


class ConditionStatus(base.TextEnum):
    """The three values of a condition."""

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
    """What the platform keeps about every object."""

    # The name is unique within the kind.
    name: str = attrs.field(
        validator=attrs.validators.matches_re(r"[a-z0-9]([-a-z0-9.]*[a-z0-9])?")
    )
    # The platform changes the version at every write.
    resource_version: int = 0
    # The platform counts the changes of the spec.
    generation: int = 0
    # Free text by key; the operator's name stands here.
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
    # A short constant for programs.
    reason: str = ""
    # A sentence for people.
    message: str = ""


@attrs.frozen(kw_only=True)
class Status:
    """Base of the status of every resource."""

    # The generation of the spec that this status speaks of.
    observed_generation: int = 0
    # The number of the accepted configuration that holds that spec.
    accepted_number: int = 0
    # One entry per aspect, by type.
    conditions: tuple[Condition, ...] = ()


@attrs.frozen(kw_only=True)
class SearchSpec:
    """What a search promises its callers."""

    # Whether requests may run more than once.
    kind: SearchKind = SearchKind.READ
    # How an order is kept from running twice; reads ignore it.
    order_guard: OrderGuard = OrderGuard.TICKET
    # The time a caller gets when it names none, in ms.
    deadline_ms: int = attrs.field(default=1_000, validator=_at_least(1))
    # The longest time a caller may ask for, in ms.
    max_deadline_ms: int = attrs.field(default=60_000, validator=_at_least(1))
    # Below this share of answered shards the outcome is a failure.
    min_coverage: float = attrs.field(default=0.0, validator=_between(0, 1))
    # The time after which an answer goes out without its stragglers, in ms;
    # zero waits for the deadline.
    patience_ms: int = attrs.field(default=0, validator=_at_least(0))
    # The share of extra attempts that retries and hedges may add.
    extra_load: float = attrs.field(default=0.05, validator=_between(0, 1))
    # Whether stragglers are asked again on another replica.
    hedge: bool = True
    # Whether an unknown request body is tried on one shard first.
    canary: bool = True
    # The number of best hits that an answer holds.
    top_hits: int = attrs.field(default=10, validator=_between(1, 1_000))


@attrs.frozen(kw_only=True)
class SearchStatus(Status):
    """What the hosts see of a search."""

    # The newest snapshot that is whole, or the one of best coverage.
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
    """What a freshly started backend server bears."""

    # The rate that a cold server bears, in shard queries a second.
    initial_rate: float = attrs.field(
        default=10.0, validator=_between(0.1, 1e6)
    )
    # The time in which the rate doubles while answers are good, in ms.
    doubling_ms: int = attrs.field(default=500, validator=_at_least(1))
    # The rate from which on the server counts as warm.
    full_rate: float = attrs.field(default=160.0, validator=_between(0.1, 1e6))


@attrs.frozen(kw_only=True)
class BackendServerSpec:
    """Where a backend server is and what it bears."""

    # The failure domain that the server lives in.
    failure_domain: str
    # The host and port of its HTTP interface.
    address: str = attrs.field(
        validator=attrs.validators.matches_re(r"[^\s:/]+:[0-9]{1,5}")
    )
    # The searches whose shards it may hold.
    searches: tuple[str, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    # The number of requests it runs at a time.
    slots: int = attrs.field(default=2, validator=_between(1, 10_000))
    # The number of connections it takes.
    max_connections: int = attrs.field(
        default=25, validator=_between(1, 100_000)
    )
    # Whether operators let it have work.
    placement: Placement = Placement.IN
    # How it is brought up to full load.
    warm_up: WarmUp = WarmUp()


@attrs.frozen(kw_only=True)
class BackendServerStatus(Status):
    """What its home sees of a backend server."""

    # The host that sends it work.
    home: str = ""
    # One of serving, warming, draining, unreachable, out.
    state: str = ""


@attrs.frozen(kw_only=True)
class BackendServer:
    """A server that holds shards."""

    metadata: Metadata
    spec: BackendServerSpec
    status: BackendServerStatus = BackendServerStatus()


@attrs.frozen(kw_only=True)
class FailureDomainSpec:
    """Whether a failure domain takes part, and how far away it is."""

    # Whether operators let work go there.
    placement: Placement = Placement.IN
    # Domains of one region are near each other.
    region: str = ""


@attrs.frozen(kw_only=True)
class FailureDomainStatus(Status):
    """What the hosts see of a failure domain."""

    # The names of the hosts that are alive there.
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
