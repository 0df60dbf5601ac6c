"""Messages between the entry and the home hosts."""

from typing import Any

import attrs

import cowslipvalve_base as base
from cowslipvalve_model import _calls
from cowslipvalve_model import _shards


@attrs.frozen
class QueryTarget:
    """The shards that one server is asked for."""

    # The name of the backend server.
    server: str
    # The numbers of the shards.
    indices: tuple[int, ...]


@attrs.frozen
class HomeQuery:
    """One caller's query for the servers of one home."""

    # Unique among the queries of the sending host.
    query_id: str
    # The id of the caller's request.
    request_id: str
    # The snapshot that all answers have to come from.
    snapshot: _shards.Snapshot
    # Names the body among all bodies, to notice those that crash servers.
    fingerprint: str
    # The caller's query.
    body: Any
    # The time left until the answer is of no use, in ms.
    remaining_ms: float
    # The number of best hits wanted.
    top_hits: int
    # Which server is asked for which shards.
    targets: tuple[QueryTarget, ...]
    # Whether the query may crash servers and runs alone.
    suspect: bool = False
    # Whether the body is known to run without harm.
    trusted: bool = False


@attrs.frozen
class ShardResult:
    """What became of one shard of a query."""

    # The number of the shard.
    index: int
    # The server that was asked.
    server: str
    # Whether it ran.
    outcome: base.Outcome
    # Why it was not answered.
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
    # One result per shard that is now finished.
    results: tuple[ShardResult, ...]
    # The best hits of these shards, best first.
    hits: tuple[_calls.Hit, ...] = ()


@attrs.frozen
class QueryBatch:
    """Queries of one entry for one home."""

    # The name of the sending host.
    sender: str
    # New queries.
    queries: tuple[HomeQuery, ...] = ()
    # The ids of queries whose answers nobody waits for any more.
    cancelled: tuple[str, ...] = ()


@attrs.frozen
class PartialBatch:
    """One line of the reply to a batch of queries."""

    # Partial answers of any queries of the batch.
    partials: tuple[PartialAnswer, ...]


@attrs.frozen
class HomeOrder:
    """An order for a server of this home."""

    # The id of the caller's request.
    request_id: str
    # The id of the only attempt.
    attempt_id: str
    # The name of the search.
    search: str
    # The name of the server.
    server: str
    # Names the body among all bodies.
    fingerprint: str
    # The caller's order.
    body: Any
    # The time left in ms.
    remaining_ms: float


@attrs.frozen
class HomeOrderReply:
    """What became of an order at its home."""

    # Whether it ran.
    outcome: base.Outcome
    # Why it was not answered.
    reason: base.Reason = base.Reason.NONE
    # What the server returned.
    result: Any = None


@attrs.frozen
class ForwardedOrder:
    """An order on its way to the host that issued its ticket."""

    # The id of the caller's request.
    request_id: str
    # The name of the search.
    search: str
    # The caller's request.
    request: _calls.OrderRequest
