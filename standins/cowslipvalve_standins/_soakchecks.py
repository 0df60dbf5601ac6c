"""Checks of the soak test on the recorded calls and server requests."""

import collections
from collections.abc import Iterable, Iterator

from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _soakcallers
from cowslipvalve_standins import _soakdeployments
from cowslipvalve_standins import _wireserver

_MS_PER_S = 1_000.0
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
# Two readiness checks of the load balancer, 1 s apart.
_BALANCER_REACTION_MS = 2_000.0
_HTTP_CLIENT_ERRORS = range(400, 500)
# By these statuses, a host promises that the request was not run.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# What a server may get in any window, by the users' bound on rate limits.
_LIMIT_WINDOW_MS = 4_000.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
_LATENESS_TOLERANCE_MS = 500.0  # Allowed beyond the time-out of the route.


def check_calls(
    deployment: _soakdeployments.SoakDeployment,
    calls: Iterable[_soakcallers.Call],
) -> Iterator[str]:
    """Yields a message for each fault in the answers that callers got."""
    execution_counts = deployment.count_executions()
    for call in calls:
        for reason in _check_call(
            deployment, call, execution_counts[call.request_id]
        ):
            yield f"{call.request_id} /{call.route}/ at {call.host}: {reason}"


def _check_call(
    deployment: _soakdeployments.SoakDeployment,
    call: _soakcallers.Call,
    executions: int,
) -> Iterator[str]:
    if call.route == "write" and executions > 1:
        yield f"non-idempotent request ran {executions} times"
    if (
        call.route == "write"
        and call.status in _NOT_EXECUTED_STATUSES
        and executions
    ):
        yield f"request was refused with {call.status} although it ran"
    if (
        call.status in _HTTP_CLIENT_ERRORS
        and call.status not in _NOT_EXECUTED_STATUSES
    ):
        yield f"unexpected client error status {call.status}"
    if call.status != _HTTP_OK:
        return
    if call.route == "all":
        yield from _check_merged_answer(deployment, call)
    else:
        proof = call.headers.get("Server-Stamp", "")
        server = _find_server(deployment, proof, call)
        if server is None or call.body != b"".join(server.wire_server.records):
            yield f"body does not match a server's answer with proof {proof!r}"


def _check_merged_answer(
    deployment: _soakdeployments.SoakDeployment, call: _soakcallers.Call
) -> Iterator[str]:
    part_stamps = call.headers.get("Part-Stamps", "")
    proofs = [proof.strip() for proof in part_stamps.split(",")]
    servers = [_find_server(deployment, proof, call) for proof in proofs]
    found_servers = [server for server in servers if server is not None]
    services = {server.service for server in found_servers}
    if len(services) != len(proofs):
        yield f"unknown proofs or repeated shards: {part_stamps}"
    missing = int(call.headers.get("Missing-Parts", "0"))
    if len(proofs) + missing != _soakdeployments.SHARD_COUNT:
        yield (
            f"{len(proofs)} parts and {missing} missing parts do not make up "
            "all shards"
        )
    if (
        len(proofs)
        < _soakdeployments.SHARD_COUNT * _soakdeployments.MIN_PART_SHARE
    ):
        yield f"only {len(proofs)} parts, below the minimum part share"
    records = sorted(
        (
            record
            for server in found_servers
            for record in server.wire_server.records
        ),
        reverse=True,
    )
    if call.body != b"".join(records[: _soakdeployments.TOP_K]):
        yield "body does not hold the greatest records of the parts"


def _find_server(
    deployment: _soakdeployments.SoakDeployment,
    proof: str,
    call: _soakcallers.Call,
) -> _soakdeployments.SoakServer | None:
    """Returns the server that issued a proof, if the proof is for the call."""
    server = deployment.all_servers.get(proof.rpartition(".")[0])
    if server is None:
        return None
    is_for_call = server.wire_server.proofs.get(proof) == call.request_id
    return server if is_for_call else None


def check_servers(deployment: _soakdeployments.SoakDeployment) -> Iterator[str]:
    """Yields a message for each misrouted request and overrun budget."""
    by_service: dict[str, list[_wireserver.ReceivedRequest]] = (
        collections.defaultdict(list)
    )
    for server in deployment.all_servers.values():
        by_service[server.service].extend(server.wire_server.received_requests)
        for request in server.wire_server.executed_requests:
            route = request.line.split("/")[1]
            fields = deployment.routes.get(route, {})
            route_services = fields.get(
                "fanout-services", [fields.get("service")]
            )
            if server.service not in route_services:
                yield (
                    f"{server.service} received a request of another route: "
                    f"{request.line}"
                )
    for service, requests in by_service.items():
        yield from _check_extra_attempts(service, requests)


def _check_extra_attempts(
    service: str, requests: list[_wireserver.ReceivedRequest]
) -> Iterator[str]:
    """Checks a service's repeated requests in each window against the budget.

    The budget holds for all hosts together, and for rejected requests too.
    """
    seen_ids: set[str] = set()
    window: collections.deque[tuple[float, bool]] = collections.deque()
    for request in sorted(requests, key=lambda r: r.read_ms):
        request_id = request.headers["request-id"]
        window.append((request.read_ms, request_id in seen_ids))
        seen_ids.add(request_id)
        window_start_ms = (
            request.read_ms - _hostprocesses.BUDGET_WINDOW_S * _MS_PER_S
        )
        while window[0][0] < window_start_ms:
            window.popleft()
        repeats = sum(is_repeat for _, is_repeat in window)
        max_repeats = (
            _hostprocesses.BUDGET_SLACK
            + _hostprocesses.BUDGET_RATIO * (len(window) - repeats)
        )
        if repeats > max_repeats:
            yield (
                f"{service} received {repeats} repeated requests in a budget "
                f"window, {max_repeats:.0f} allowed"
            )
            return


def check_calls_after_faults(
    calls: Iterable[_soakcallers.Call],
    since_ms: float,
    stopped_host: str,
    stopped_ms: float,
) -> Iterator[str]:
    """Yields the calls that failed after the faults had ended.

    Args:
      calls: All calls.
      since_ms: When the deployment had recovered, in ms of the loop's clock.
      stopped_host: The host that was stopped in this period; calls to it may
        fail without a status, or be refused once the load balancer sends no
        more of them.
      stopped_ms: When it was told to stop.
    """
    for call in calls:
        if call.sent_ms < since_ms or call.status == _HTTP_OK:
            continue
        is_refused_late = (
            call.status == _HTTP_UNAVAILABLE
            and call.sent_ms >= stopped_ms + _BALANCER_REACTION_MS
        )
        if call.host == stopped_host and (not call.status or is_refused_late):
            continue
        yield (
            f"{call.request_id} /{call.route}/ at {call.host}: status "
            f"{call.status} {call.error} after the faults had ended"
        )


def check_rate_limit(
    server: _wireserver.WireServer, requests_per_s: float, since_ms: float
) -> Iterator[str]:
    """Yields a message if a server got more requests than its rate limit.

    Args:
      server: The server.
      requests_per_s: The limit that it has stated in its answers.
      since_ms: When all hosts had to keep it, in ms of the loop's clock.
    """
    times_ms = [
        request.read_ms
        for request in server.executed_requests
        if request.read_ms >= since_ms
    ]
    most = max(
        (
            sum(start <= time < start + _LIMIT_WINDOW_MS for time in times_ms)
            for start in times_ms
        ),
        default=0,
    )
    window_s = _LIMIT_WINDOW_MS / _MS_PER_S
    max_requests = _LIMIT_FACTOR * requests_per_s * window_s + _LIMIT_SLACK
    if most > max_requests:
        yield (
            f"{server.instance_id} received {most} requests in "
            f"{window_s:.0f} s, {max_requests:.0f} allowed by its rate limit"
        )


def check_response_times(
    calls: Iterable[_soakcallers.Call], since_ms: float, timeout_ms: float
) -> Iterator[str]:
    """Yields the calls that took longer than the time-out of their route.

    Args:
      calls: All calls.
      since_ms: Calls sent earlier are ignored, in ms of the loop's clock.
      timeout_ms: The time-out of the routes.
    """
    for call in calls:
        if (
            call.sent_ms >= since_ms
            and call.took_ms > timeout_ms + _LATENESS_TOLERANCE_MS
        ):
            yield (
                f"{call.request_id} took {call.took_ms:.0f} ms, longer than "
                "the time-out of its route"
            )
