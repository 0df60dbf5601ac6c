"""Messages between entry hosts, which serve callers, and home hosts."""

from typing import Any

import attrs

import cowslipvalve_base as base
from cowslipvalve_model import _calls
from cowslipvalve_model import _shards


@attrs.frozen
class QueryTarget:
    """The shards to query on one server."""

    # The name of the backend server.
    server: str
    # The numbers of the shards.
    indices: tuple[int, ...]


@attrs.frozen
class HomeQuery:
    """A caller's query to servers of one home host."""

    # Unique among the queries of the sending host.
    query_id: str
    # The id of the caller's request.
    request_id: str
    # The snapshot that all answers have to come from.
    snapshot: _shards.Snapshot
    # Identifies the body, to detect bodies that crash servers.
    fingerprint: str
    # The caller's query.
    body: Any
    # The time left until the deadline, in ms.
    remaining_ms: float
    # The number of best hits to return.
    top_hits: int
    # The servers to query, each with its shards.
    targets: tuple[QueryTarget, ...]
    # Whether the body is suspected of crashing servers and has to run alone.
    suspect: bool = False
    # Whether the body is known to run without crashing a server.
    trusted: bool = False


@attrs.frozen
class ShardResult:
    """The outcome of a query on one shard."""

    # The number of the shard.
    index: int
    # The name of the server that was queried.
    server: str
    # Whether the query ran.
    outcome: base.Outcome
    # Why the query was not answered.
    reason: base.Reason = base.Reason.NONE
    # The number of matches in the shard.
    total: int = 0
    # Whether nothing else ran on the server at the same time.
    alone: bool = False


@attrs.frozen
class PartialAnswer:
    """The merged answers of some shards of one query."""

    # The id of the query.
    query_id: str
    # The snapshot that the hits come from.
    snapshot: _shards.Snapshot
    # One result per shard that has finished.
    results: tuple[ShardResult, ...]
    # The best hits of these shards, best first.
    hits: tuple[_calls.Hit, ...] = ()


@attrs.frozen
class QueryBatch:
    """Queries from one entry host to one home host."""

    # The name of the sending host.
    sender: str
    # New queries.
    queries: tuple[HomeQuery, ...] = ()
    # The ids of queries to cancel, whose answers are no longer needed.
    cancelled: tuple[str, ...] = ()


@attrs.frozen
class PartialBatch:
    """One line of the reply to a batch of queries."""

    # Partial answers to any of the queries in the batch.
    partials: tuple[PartialAnswer, ...]


@attrs.frozen
class HomeOrder:
    """An order to a server of the receiving home host."""

    # The id of the caller's request.
    request_id: str
    # The id of the attempt; an order has only one.
    attempt_id: str
    # The name of the search.
    search: str
    # The name of the server.
    server: str
    # Identifies the body.
    fingerprint: str
    # The caller's order.
    body: Any
    # The time left until the deadline, in ms.
    remaining_ms: float


@attrs.frozen
class HomeOrderReply:
    """The outcome of an order at its home host."""

    # Whether the order ran.
    outcome: base.Outcome
    # Why the order was not answered.
    reason: base.Reason = base.Reason.NONE
    # The result that the server returned.
    result: Any = None


@attrs.frozen
class ForwardedOrder:
    """An order that is forwarded to the host that issued its ticket."""

    # The id of the caller's request.
    request_id: str
    # The name of the search.
    search: str
    # The caller's request.
    request: _calls.OrderRequest
