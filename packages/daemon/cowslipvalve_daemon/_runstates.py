"""The state of a search run and the objects that it uses."""

from collections.abc import Callable

import attrs

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _quarantines
from cowslipvalve_daemon import _querystreams
from cowslipvalve_daemon import _replicas


@attrs.define(eq=False)
class ShardState:
    """The state of one shard of a request."""

    index: int
    # The servers that the next attempt skips.
    tried_servers: set[str] = attrs.field(factory=set)
    # The queries that were sent for the shard and have no result yet.
    pending_query_ids: set[str] = attrs.field(factory=set)
    is_answered: bool = False
    is_hedged: bool = False
    # The time of the next retry, None if none is scheduled.
    retry_at_ms: float | None = None
    # The number of retries that were charged to the extra-load budget, or that
    # found no usable server.
    budgeted_retries: int = 0
    # Why the last attempt failed.
    reason: model.Reason = model.Reason.NO_SERVER
    # Whether an attempt with an unknown outcome may have run.
    may_have_run: bool = False


@attrs.define(eq=False)
class SentQuery:
    """A query that was sent to one home."""

    query: model.HomeQuery
    stream: _querystreams.QueryStream
    sent_ms: float
    # The indices of the shards without a result.
    unanswered: set[int]


@attrs.frozen(kw_only=True)
class SearchContext:
    """The objects that all runs of one search on a host share."""

    # The clock for deadlines and delays.
    clock: model.Clock
    # Chooses a replica for each shard.
    directory: _replicas.ReplicaDirectory
    # The connections to the homes.
    streams: _querystreams.QueryStreams
    # Records which bodies crash servers.
    quarantine: _quarantines.Quarantine
    # Limits the retries and hedges of this search.
    budget: policy.ExtraLoadBudget
    # Recent shard latencies of this search.
    latencies: policy.LatencyWindow
    # Counts shard attempts; takes their number and whether they are extra,
    # that is, retries or hedges.
    count_attempts: Callable[[int, bool], None]
    # Counts a failed shard query by reason.
    count_failure: Callable[[model.Reason], None]
