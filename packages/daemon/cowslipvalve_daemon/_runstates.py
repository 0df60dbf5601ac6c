"""What a search run keeps and what it works with."""

from collections.abc import Callable

import attrs

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _quarantines
from cowslipvalve_daemon import _querystreams
from cowslipvalve_daemon import _replicas


@attrs.define(eq=False)
class ShardState:
    """What is known of one shard of the request."""

    index: int
    tried_servers: set[str] = attrs.field(factory=set)
    pending_query_ids: set[str] = attrs.field(factory=set)
    is_answered: bool = False
    is_hedged: bool = False
    retry_at_ms: float | None = None
    budgeted_retries: int = 0
    reason: model.Reason = model.Reason.NO_SERVER
    may_have_run: bool = False


@attrs.define(eq=False)
class SentQuery:
    """A query that was sent to one home."""

    query: model.HomeQuery
    stream: _querystreams.QueryStream
    sent_ms: float
    unanswered: set[int]


@attrs.frozen(kw_only=True)
class SearchContext:
    """What all requests of an entry share."""

    # Reads the time.
    clock: model.Clock
    # Chooses servers.
    directory: _replicas.ReplicaDirectory
    # Reaches the homes.
    streams: _querystreams.QueryStreams
    # Knows harmful bodies.
    quarantine: _quarantines.Quarantine
    # Bounds retries and hedges of this search.
    budget: policy.ExtraLoadBudget
    # Shard latencies of this search.
    latencies: policy.LatencyWindow
    # Counts attempts: the number and whether they are extra.
    count_attempts: Callable[[int, bool], None]
    # Counts failed shard queries by reason.
    count_failure: Callable[[model.Reason], None]
