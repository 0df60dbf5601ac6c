"""Caller requests and their outcomes."""

import enum

import attrs

# All others are invalid (RFC 9110, section 15).
HTTP_STATUSES = range(100, 600)
# To callers these statuses promise that the request has not run and will not.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One attempt of a caller; its retry is another CallerRequest."""

    # The caller's id for this attempt.
    request_id: str
    # The HTTP method, forwarded unchanged.
    method: str
    # The requested host name, without a port.
    host: str
    # The path and query, forwarded unchanged.
    target: str
    # The headers to forward.
    headers: tuple[tuple[str, str], ...]
    # The body, forwarded unchanged.
    body: bytes
    # The client account that the caller names, empty if it names none.
    account: str = ""
    # When the request was completely read, on the process's clock.
    received_ms: float
    # When the caller stops waiting, on the process's clock.
    deadline_ms: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class ServerAnswer:
    """The complete answer of a server that has run a request."""

    # The HTTP status.
    status: int
    # The server's proof that the answer is its own, empty if absent.
    proof: str
    # All headers that the server sent, names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]
    # The body.
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx and the server sent its proof."""
        return bool(self.proof) and 200 <= self.status < 300  # noqa: PLR2004

    @property
    def denies_run(self) -> bool:
        """Whether callers would take it that the request has not run."""
        return self.status in _NOT_RUN_STATUSES


@attrs.frozen(kw_only=True)
class MergedAnswer:
    """The merged answer of a fan-out."""

    # The proofs of the included parts, one for each shard that answered.
    proofs: tuple[str, ...]
    # The number of shards without a part in the answer.
    missing: int
    # The greatest records of all parts in descending order.
    body: bytes


class RefusalReason(enum.Enum):
    """Why a request ended without an answer from a server."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    BAD_REQUEST = "bad-request"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate-limited"
    STOPPING = "stopping"
    LOST = "lost"
    BAD_ANSWER = "bad-answer"
    LOW_COVERAGE = "low-coverage"
    TIMEOUT = "timeout"
    QUARANTINED = "quarantined"
    SUSPECT = "suspect"
    NO_BUDGET = "no-budget"


@attrs.frozen(kw_only=True)
class Refusal:
    """The outcome of a request that ends without an answer."""

    # Why there is no answer.
    reason: RefusalReason
    # Whether it is certain that no server has run or will run the request.
    is_not_run: bool
    # After how many ms the caller should retry; None if it should not.
    retry_after_ms: float | None = None


Outcome = ServerAnswer | MergedAnswer | Refusal
