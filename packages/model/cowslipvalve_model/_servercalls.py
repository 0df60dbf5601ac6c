"""Messages between a home host and a backend server."""

from typing import Any

import attrs

import cowslipvalve_base as base
from cowslipvalve_model import _calls
from cowslipvalve_model import _shards


@attrs.frozen
class ShardQuery:
    """A query for one shard of one server."""

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
    # The time left until the answer is of no use, in ms.
    remaining_ms: float
    # The number of best hits wanted.
    top_hits: int


@attrs.frozen
class ShardAnswer:
    """What a server says of one shard query, with its ids echoed."""

    # The id of the caller's request.
    request_id: str
    # The id of the attempt that is answered.
    attempt_id: str
    # The snapshot that the answer came from.
    snapshot: _shards.Snapshot
    # The number of the shard that the answer came from.
    index: int
    # Whether it ran.
    outcome: base.Outcome
    # Why it did not run.
    reason: base.Reason = base.Reason.NONE
    # The number of matches.
    total: int = 0
    # The number of hits below, to notice a cut answer.
    hit_count: int = 0
    # The best hits, best first.
    hits: tuple[_calls.Hit, ...] = ()


@attrs.frozen
class ServerBatch:
    """Queries that share one slot of a server."""

    # The queries, at least one.
    queries: tuple[ShardQuery, ...]


@attrs.frozen
class ServerReply:
    """The answers of one batch."""

    # Changes whenever the server starts anew.
    boot_id: str
    # One answer per query of the batch.
    answers: tuple[ShardAnswer, ...]


@attrs.frozen
class ServerState:
    """What a server says of itself; a hint only."""

    # Changes whenever the server starts anew.
    boot_id: str
    # The shards it holds.
    holdings: tuple[_shards.Holding, ...]
    # Whether it asks for no more work.
    draining: bool = False


@attrs.frozen
class ServerOrder:
    """A non-idempotent request for one server."""

    # The id of the caller's request.
    request_id: str
    # The id of this attempt; there is never a second one after a send.
    attempt_id: str
    # The name of the search.
    search: str
    # The caller's order.
    body: Any
    # The time left until the answer is of no use, in ms.
    remaining_ms: float


@attrs.frozen
class ServerOrderReply:
    """What a server says of an order, with its ids echoed."""

    # Changes whenever the server starts anew.
    boot_id: str
    # The id of the caller's request.
    request_id: str
    # The id of the attempt.
    attempt_id: str
    # Whether it ran.
    outcome: base.Outcome
    # Why it did not run.
    reason: base.Reason = base.Reason.NONE
    # What it returned.
    result: Any = None


@attrs.frozen
class CancelRequest:
    """Attempts whose answers nobody waits for any more."""

    # The ids of the attempts.
    attempt_ids: tuple[str, ...]
