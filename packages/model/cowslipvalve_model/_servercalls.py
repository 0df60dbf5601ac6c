"""Messages between a home host and a backend server."""

from typing import Any

import attrs

import cowslipvalve_base as base
from cowslipvalve_model import _calls
from cowslipvalve_model import _shards


@attrs.frozen
class ShardQuery:
    """A query for one shard on one server."""

    # The id of the caller's request.
    request_id: str
    # The id of this attempt, unique among all attempts.
    attempt_id: str
    # The snapshot that the answer has to come from.
    snapshot: _shards.Snapshot
    # The number of the shard.
    index: int
    # The caller's query.
    body: Any
    # The time left until the deadline, in ms.
    remaining_ms: float
    # The number of best hits to return.
    top_hits: int


@attrs.frozen
class ShardAnswer:
    """The answer of a server to a shard query, with the query's ids echoed."""

    # The id of the caller's request.
    request_id: str
    # The id of the attempt.
    attempt_id: str
    # The snapshot that the answer came from.
    snapshot: _shards.Snapshot
    # The number of the shard that the answer came from.
    index: int
    # Whether the query ran.
    outcome: base.Outcome
    # Why the query did not run.
    reason: base.Reason = base.Reason.NONE
    # The number of matches.
    total: int = 0
    # The number of entries in `hits`, to detect a truncated answer.
    hit_count: int = 0
    # The best hits, best first.
    hits: tuple[_calls.Hit, ...] = ()


@attrs.frozen
class ServerBatch:
    """Queries that run in one slot of a server."""

    # At least one query.
    queries: tuple[ShardQuery, ...]


@attrs.frozen
class ServerReply:
    """The answers to a batch of queries."""

    # Changes with every start of the server.
    boot_id: str
    # One answer per query of the batch.
    answers: tuple[ShardAnswer, ...]


@attrs.frozen
class ServerState:
    """The state that a server reports of itself, which is only a hint."""

    # Changes with every start of the server.
    boot_id: str
    # The shards that the server holds.
    holdings: tuple[_shards.Holding, ...]
    # Whether the server asks to get no more work.
    draining: bool = False


@attrs.frozen
class ServerOrder:
    """A non-idempotent request for one server."""

    # The id of the caller's request.
    request_id: str
    # The id of this attempt. Once the order has been sent, there is no other
    # attempt.
    attempt_id: str
    # The name of the search.
    search: str
    # The caller's order.
    body: Any
    # The time left until the deadline, in ms.
    remaining_ms: float


@attrs.frozen
class ServerOrderReply:
    """The answer of a server to an order, with the order's ids echoed."""

    # Changes with every start of the server.
    boot_id: str
    # The id of the caller's request.
    request_id: str
    # The id of the attempt.
    attempt_id: str
    # Whether the order ran.
    outcome: base.Outcome
    # Why the order did not run.
    reason: base.Reason = base.Reason.NONE
    # The result that the server returned.
    result: Any = None


@attrs.frozen
class CancelRequest:
    """A request to stop attempts whose answers are no longer needed."""

    # The ids of the attempts.
    attempt_ids: tuple[str, ...]
