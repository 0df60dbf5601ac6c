"""Requests of callers, and how they end."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One attempt of a caller."""

    # The caller's id of this attempt.
    request_id: str
    # The method, passed on unchanged.
    method: str
    # The host name that was asked for, without a port.
    host: str
    # The path and query, passed on unchanged.
    target: str
    # The headers that are passed on.
    headers: tuple[tuple[str, str], ...]
    # The body, passed on unchanged.
    body: bytes
    # The clock's time at which the request had been read.
    received_ms: float
    # The clock's time at which the caller stops waiting.
    deadline_ms: float

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class ServerAnswer:
    """The whole answer of a server that has run a request."""

    # The server's status.
    status: int
    # The server's proof that it gave this answer, empty if it gave none.
    proof: str
    # All headers of the server, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    # The server's body.
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the server has served the request and vouches for it."""
        return bool(self.proof) and 200 <= self.status < 300  # noqa: PLR2004


@attrs.frozen(kw_only=True)
class MergedAnswer:
    """The merged answer of a fan-out."""

    # The proofs of the parts that are included.
    proofs: tuple[str, ...]
    # The number of shards that are left out.
    missing: int
    # The greatest records of all parts, greatest first.
    body: bytes


class RefusalReason(enum.Enum):
    """Why a request was not answered by a server."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    BAD_REQUEST = "bad-request"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    LOST = "lost"
    BAD_ANSWER = "bad-answer"
    LOW_COVERAGE = "low-coverage"
    TIMEOUT = "timeout"


@attrs.frozen(kw_only=True)
class Refusal:
    """A request that ends without an answer."""

    # Why there is no answer.
    reason: RefusalReason
    # Whether no server has run it and none ever will.
    is_not_run: bool
    # When the caller should come back, in ms from now.
    retry_after_ms: float | None = None


Outcome = ServerAnswer | MergedAnswer | Refusal
