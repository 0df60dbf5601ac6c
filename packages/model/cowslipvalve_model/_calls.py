"""Requests of callers and the answers they get."""

from typing import Any

import attrs

import cowslipvalve_base as base

MAX_KEY_LENGTH = 200  # Characters of a caller's key.


def _positive(
    _instance: object, field: "attrs.Attribute[Any]", value: int | None
) -> None:
    if value is not None and value <= 0:
        raise ValueError(f"'{field.name}' must be positive, not {value}")


@attrs.frozen(kw_only=True)
class SearchRequest:
    """A caller's read request."""

    # The body that is handed to every shard unread.
    query: dict[str, Any]
    # Names of items; only the shards that may hold them are asked.
    items: tuple[str, ...] = ()
    # The time the caller waits in ms; the search's own if not given.
    deadline_ms: int | None = attrs.field(default=None, validator=_positive)


@attrs.frozen(kw_only=True)
class OrderRequest:
    """A caller's non-idempotent request."""

    # The body that one server runs at most once.
    order: dict[str, Any]
    # The caller's own key; searches guarded by claims need it.
    key: str = attrs.field(
        default="", validator=attrs.validators.max_len(MAX_KEY_LENGTH)
    )
    # A ticket from the tickets endpoint; the other searches need it.
    ticket: str = attrs.field(
        default="", validator=attrs.validators.max_len(MAX_KEY_LENGTH)
    )
    # The time the caller waits in ms; the search's own if not given.
    deadline_ms: int | None = attrs.field(default=None, validator=_positive)


@attrs.frozen
class Hit:
    """One found document."""

    # The document's id within the search.
    id: str
    # A higher score is better.
    score: float
    # The number of the shard that holds it.
    shard: int
    # The document as the server returned it.
    data: Any = None


@attrs.frozen(kw_only=True)
class Coverage:
    """How much of the asked shards an answer holds."""

    # The number of shards whose answers are in it.
    answered: int
    # The number of shards that the request asked for.
    total: int
    # The numbers of the shards that are not in it.
    missing: tuple[int, ...] = ()

    @property
    def share(self) -> float:
        """The answered share, zero if nothing could be asked."""
        return self.answered / self.total if self.total else 0.0


@attrs.frozen(kw_only=True)
class SearchAnswer:
    """What a caller gets for a read request."""

    # The id under which the logs speak of the request.
    request_id: str
    # Answered even if incomplete, so long as the search's minimum is met.
    outcome: base.Outcome
    # The name of the search.
    search: str
    # The snapshot that all hits come from, zero if none.
    snapshot: int
    # Which shards the answer holds.
    coverage: Coverage
    # The number of matches in the answered shards.
    total_hits: int = 0
    # The best hits, best first.
    hits: tuple[Hit, ...] = ()
    # Why the answer is missing or incomplete.
    reason: base.Reason = base.Reason.NONE


@attrs.frozen(kw_only=True)
class Ticket:
    """The right to run one order."""

    # Names the host, incarnation and number that issued it.
    ticket: str
    # The time after which an unused ticket is void, in ms from now.
    valid_ms: int


@attrs.frozen(kw_only=True)
class OrderAnswer:
    """What a caller gets for an order."""

    # The id under which the logs speak of the request.
    request_id: str
    # Whether the order has run.
    outcome: base.Outcome
    # The name of the search.
    search: str
    # What the server returned, if it was answered.
    result: Any = None
    # Why it was not answered.
    reason: base.Reason = base.Reason.NONE


@attrs.frozen(kw_only=True)
class Failure:
    """What a caller gets when there is no answer."""

    # The id under which the logs speak of the request.
    request_id: str
    # Whether the request may have run.
    outcome: base.Outcome
    # Why there is no answer.
    reason: base.Reason
    # A sentence that says what to do.
    message: str
    # The step at which it failed.
    step: str = ""
    # The peer with which it failed.
    peer: str = ""
    # Whether sending the same request again may help and is safe.
    retry: bool = False
