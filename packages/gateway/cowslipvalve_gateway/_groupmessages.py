"""Messages between the host that got a request and one that asks a group."""

import base64

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _departures
from cowslipvalve_gateway import _requestmessages
from cowslipvalve_gateway import _resources

GROUP_PATH = "/group"


@attrs.frozen(kw_only=True)
class GroupRequest:
    """A caller's request for the shards of one group."""

    # The caller's id for this attempt.
    request_id: str
    # The HTTP method, host name and target, as in CallerRequest.
    method: str
    host: str
    target: str
    # The headers to forward.
    headers: tuple[tuple[str, str], ...]
    # The body in base64.
    body: str
    # The version of the configuration that names the shards.
    version: int
    # The route; its shards are those of the group.
    route: _resources.Route
    # The time until the caller's deadline in ms.
    remaining_ms: float
    # The time in ms until the parts should have arrived; may be negative.
    target_remaining_ms: float
    # The caller's client account, as in CallerRequest.
    account: str = ""
    # Empty unless another host may have sent the request to servers; else the
    # server that it asked first for each shard, empty if that is unknown.
    asked: tuple[str, ...] = ()
    # Whether the other host asks because it does not reach these servers.
    is_detour: bool = False

    @property
    def is_repeat(self) -> bool:
        """Whether servers may have got the request from another host."""
        return bool(self.asked)

    def to_caller_request(self, now_ms: float) -> _calls.CallerRequest:
        """Returns the request as the servers are to get it.

        Raises:
          InputError: The body is not base64.
        """
        body = _requestmessages.decode_base64(self.body, "read-group-request")
        return _calls.CallerRequest(
            request_id=self.request_id,
            method=self.method,
            host=self.host,
            target=self.target,
            headers=self.headers,
            body=body,
            account=self.account,
            received_ms=now_ms,
            deadline_ms=now_ms + self.remaining_ms,
        )


@attrs.frozen(kw_only=True)
class GroupReport:
    """What happened since the last report; an empty one shows progress only."""

    # In the first report, the server that was asked first for each shard of the
    # request, empty if there is none yet.
    asked: tuple[str, ...] = ()
    # The shards whose parts are in the records.
    answered: tuple[str, ...] = ()
    # The proofs of these parts, in the same order.
    proofs: tuple[str, ...] = ()
    # The greatest records of these parts in base64.
    records: str = ""
    # The shards that will have no part.
    failed: tuple[str, ...] = ()
    # For each of them, for how many ms the rate limits of its servers are used
    # up; 0 if it failed for another reason.
    waits_ms: tuple[float, ...] = ()
    # Those of the failed shards none of whose servers was reached.
    unreached: tuple[str, ...] = ()
    # The shards of which the host knows or reaches no server; nothing was sent.
    unknown: tuple[str, ...] = ()
    # The servers of the answered shards that leave.
    leaving: tuple[_departures.LeavingServer, ...] = ()

    def read_records(self) -> bytes:
        """Returns the records.

        Raises:
          InputError: The records are not base64, or a proof is missing.
        """
        if len(self.proofs) != len(self.answered):
            raise base.InputError(
                f"{len(self.proofs)} proofs for {len(self.answered)} parts",
                step="read-group-report",
            )
        return _requestmessages.decode_base64(self.records, "read-group-report")


def create_group_request(
    request: _calls.CallerRequest,
    route: _resources.Route,
    version: int,
    now_ms: float,
    target_at_ms: float,
    deadline_ms: float,
    asked: tuple[str, ...],
    is_detour: bool,
) -> GroupRequest:
    """Creates the message for a group; the route's shards are the group's."""
    return GroupRequest(
        request_id=request.request_id,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=request.headers,
        body=base64.b64encode(request.body).decode(),
        account=request.account,
        version=version,
        route=route,
        remaining_ms=deadline_ms - now_ms,
        target_remaining_ms=target_at_ms - now_ms,
        asked=asked,
        is_detour=is_detour,
    )
