"""Outcomes of requests."""

from cowslipvalve_base import _texts


class Outcome(_texts.TextEnum):
    """The outcome of a request or of one of its attempts."""

    # The request was run and its answer was received.
    ANSWERED = "answered"
    # No server has run the request.
    NOT_RUN = "not_run"
    # The request may have run.
    UNKNOWN = "unknown"


class Reason(_texts.TextEnum):
    """Why a request was not answered."""

    NONE = ""
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_SEARCH = "unknown_search"
    NO_CONFIGURATION = "no_configuration"
    NO_SERVER = "no_server"
    NOT_HOME = "not_home"
    OUT = "out"
    DRAINING = "draining"
    SHED = "shed"
    WARMING = "warming"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    SNAPSHOT_UNAVAILABLE = "snapshot_gone"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    ANSWER_LOST = "answer_lost"
    HOME_LOST = "home_lost"
    MISMATCH = "mismatch"
    QUARANTINED = "quarantined"
    PLATFORM_UNAVAILABLE = "platform_away"
    LOW_COVERAGE = "low_coverage"
    TICKET_INVALID = "ticket_void"
    ISSUER_UNAVAILABLE = "issuer_gone"
    ALREADY_SENT = "already_sent"
    STOPPING = "stopping"


# Reasons after which the same request may succeed if it is sent again.
RETRYABLE_REASONS = frozenset(
    {
        Reason.NO_CONFIGURATION,
        Reason.NO_SERVER,
        Reason.NOT_HOME,
        Reason.OUT,
        Reason.DRAINING,
        Reason.SHED,
        Reason.WARMING,
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
        Reason.SNAPSHOT_UNAVAILABLE,
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
        Reason.ANSWER_LOST,
        Reason.HOME_LOST,
        Reason.MISMATCH,
        Reason.PLATFORM_UNAVAILABLE,
        Reason.LOW_COVERAGE,
        Reason.STOPPING,
    }
)
