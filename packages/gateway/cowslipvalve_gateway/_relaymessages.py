"""Messages between a host that reaches no servers and one that asks them."""

import base64
import functools

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _departures
from cowslipvalve_gateway import _requestmessages
from cowslipvalve_gateway import _resources

RELAY_PATH = "/relay"
# In base64 well below the longest line that a host reads, 128 KiB.
_MAX_PART_BYTES = 49_152


@attrs.frozen(kw_only=True)
class RelayRequest:
    """A caller's request for a single service."""

    request: _requestmessages.RequestMessage
    # The route.
    route: _resources.Route
    # The service to ask.
    service: str
    # The time until the caller's deadline in ms.
    remaining_ms: float
    # Whether another host may have sent the request to servers.
    is_repeat: bool = False
    # The server that the other host asked first, empty if it is unknown.
    asked: str = ""


@attrs.frozen(kw_only=True)
class RelayedAnswer:
    """A server's answer without its body, as in ServerAnswer."""

    status: int
    proof: str
    # Names and values, each byte as one character.
    headers: tuple[tuple[str, str], ...]
    # The size of the body, which earlier reports hold.
    body_bytes: int

    def to_server_answer(self, body: bytes) -> _calls.ServerAnswer:
        """Returns the answer.

        Raises:
          InputError: The status is no HTTP status, the body is not whole, or a
            header has characters that are no bytes.
        """
        if self.status not in _calls.HTTP_STATUSES:
            raise base.InputError(
                f"{self.status} is no HTTP status", step="read-relay-report"
            )
        if len(body) != self.body_bytes:
            raise base.InputError(
                f"{len(body)} of {self.body_bytes} bytes of a body",
                step="read-relay-report",
            )
        try:
            headers = tuple(
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in self.headers
            )
        except UnicodeEncodeError as error:
            raise base.InputError(
                f"not bytes: {error}", step="read-relay-report"
            ) from error
        return _calls.ServerAnswer(
            status=self.status,
            proof=self.proof,
            headers=headers,
            body=body,
        )


@attrs.frozen(kw_only=True)
class RelayedRefusal:
    """A refusal, as in Refusal."""

    reason: _calls.RefusalReason
    is_not_run: bool
    retry_after_ms: float | None
    # Whether no server of the service was reached.
    is_unreached: bool


@attrs.frozen(kw_only=True)
class RelayReport:
    """What happened since the last report; an empty one shows progress only."""

    # The server that was asked first, empty if there is none yet.
    asked: str = ""
    # The next part of the answer's body in base64.
    body: str = ""
    # The outcome, in the last report.
    answer: RelayedAnswer | None = None
    refusal: RelayedRefusal | None = None
    # In the last report, the servers of the service that leave.
    leaving: tuple[_departures.LeavingServer, ...] = ()

    def read_body(self) -> bytes:
        """Returns the part of the body.

        Raises:
          InputError: The part is not base64.
        """
        return _requestmessages.decode_base64(self.body, "read-relay-report")


@functools.singledispatch
def create_last_reports(
    outcome: _calls.Outcome,
    is_unreached: bool,
    leaving: tuple[_departures.LeavingServer, ...],
) -> list[RelayReport]:
    """Creates the last reports.

    Args:
      outcome: The outcome of the request.
      is_unreached: Whether no server of the service was reached.
      leaving: The servers of the service that leave.
    """
    del is_unreached, leaving
    raise TypeError(f"unsupported outcome: {outcome!r}")


@create_last_reports.register
def _(
    outcome: _calls.ServerAnswer,
    is_unreached: bool,
    leaving: tuple[_departures.LeavingServer, ...],
) -> list[RelayReport]:
    del is_unreached
    body = outcome.body
    parts = [
        RelayReport(
            body=base64.b64encode(
                body[start : start + _MAX_PART_BYTES]
            ).decode()
        )
        for start in range(0, len(body), _MAX_PART_BYTES)
    ]
    answer = RelayedAnswer(
        status=outcome.status,
        proof=outcome.proof,
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in outcome.headers
        ),
        body_bytes=len(body),
    )
    return [*parts, RelayReport(answer=answer, leaving=leaving)]


@create_last_reports.register
def _(
    outcome: _calls.Refusal,
    is_unreached: bool,
    leaving: tuple[_departures.LeavingServer, ...],
) -> list[RelayReport]:
    refusal = RelayedRefusal(
        reason=outcome.reason,
        is_not_run=outcome.is_not_run,
        retry_after_ms=outcome.retry_after_ms,
        is_unreached=is_unreached,
    )
    return [RelayReport(refusal=refusal, leaving=leaving)]
