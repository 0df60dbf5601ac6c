"""Requests of callers and the answers to them."""

from typing import Any

import attrs

import cowslipvalve_base as base

MAX_KEY_LENGTH = 200  # In characters, for keys and tickets.


def _check_positive(
    _instance: object, field: "attrs.Attribute[Any]", value: int | None
) -> None:
    if value is not None and value <= 0:
        raise ValueError(f"'{field.name}' must be positive, not {value}")


@attrs.frozen(kw_only=True)
class SearchRequest:
    """A caller's read request."""

    # The query, which is passed to every shard without being interpreted.
    query: dict[str, Any]
    # Names of items; only shards that may hold one of them are queried.
    items: tuple[str, ...] = ()
    # The time that the caller waits, in ms; the search's default deadline if
    # not given.
    deadline_ms: int | None = attrs.field(
        default=None, validator=_check_positive
    )


@attrs.frozen(kw_only=True)
class OrderRequest:
    """A caller's non-idempotent request."""

    # The order, which one server runs at most once.
    order: dict[str, Any]
    # The idempotency key that the caller chose; searches guarded by claims
    # need it.
    key: str = attrs.field(
        default="", validator=attrs.validators.max_len(MAX_KEY_LENGTH)
    )
    # A ticket from the tickets endpoint; searches guarded by tickets need it.
    ticket: str = attrs.field(
        default="", validator=attrs.validators.max_len(MAX_KEY_LENGTH)
    )
    # The time that the caller waits, in ms; the search's default deadline if
    # not given.
    deadline_ms: int | None = attrs.field(
        default=None, validator=_check_positive
    )


@attrs.frozen
class Hit:
    """A document that matches a query."""

    # The document's id within the search.
    id: str
    # The score of the document; a higher score is better.
    score: float
    # The number of the shard that holds it.
    shard: int
    # The document as the server returned it.
    data: Any = None


@attrs.frozen(kw_only=True)
class Coverage:
    """Which of the requested shards an answer includes."""

    # The number of shards that the answer includes.
    answered: int
    # The number of shards that the request asked for.
    total: int
    # The numbers of the shards that the answer lacks.
    missing: tuple[int, ...] = ()

    @property
    def share(self) -> float:
        """The share of shards that answered, zero if no shard was asked for."""
        return self.answered / self.total if self.total else 0.0


@attrs.frozen(kw_only=True)
class SearchAnswer:
    """The answer to a read request of a caller."""

    # The id under which the logs speak of the request.
    request_id: str
    # ANSWERED also if the answer is incomplete but reaches the search's
    # minimum coverage.
    outcome: base.Outcome
    # The name of the search.
    search: str
    # The number of the snapshot that all hits come from, zero if none.
    snapshot: int
    # Which shards the answer includes.
    coverage: Coverage
    # The number of matches in the answered shards.
    total_hits: int = 0
    # The best hits, best first.
    hits: tuple[Hit, ...] = ()
    # Why the answer is missing or incomplete.
    reason: base.Reason = base.Reason.NONE


@attrs.frozen(kw_only=True)
class Ticket:
    """A ticket, which permits one order to run."""

    # The text of the ticket, which states the issuing host, the incarnation
    # of that host and a number.
    ticket: str
    # The time until an unused ticket expires, in ms.
    valid_ms: int


@attrs.frozen(kw_only=True)
class OrderAnswer:
    """The answer to an order of a caller."""

    # The id under which the logs speak of the request.
    request_id: str
    # Whether the order has run.
    outcome: base.Outcome
    # The name of the search.
    search: str
    # The result that the server returned, if the order was answered.
    result: Any = None
    # Why the order was not answered.
    reason: base.Reason = base.Reason.NONE


@attrs.frozen(kw_only=True)
class ErrorAnswer:
    """The body of an error response to a caller."""

    # The id under which the logs speak of the request.
    request_id: str
    # Whether the request may have run.
    outcome: base.Outcome
    # Why there is no answer.
    reason: base.Reason
    # A sentence for people that says what to do.
    message: str
    # The step that failed.
    step: str = ""
    # The host or server that the failed step called.
    peer: str = ""
    # Whether sending the same request again is safe and may succeed.
    retry: bool = False
