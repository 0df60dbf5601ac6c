"""Checks of the soak test on the recorded calls and server requests."""

import collections
from collections.abc import Iterable, Iterator

from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _soakcallers
from cowslipvalve_standins import _soakworld
from cowslipvalve_standins import _wireserver

_MS_PER_S = 1_000.0
_HTTP_OK = 200
_HTTP_CLIENT_ERRORS = range(400, 500)
# By these statuses, a host promises that the request was not run.
_NOT_RUN = frozenset({408, 421, 429, 503})
_LATE_MS = 500.0  # Allowed beyond the time-out of the route.


def check_calls(
    world: _soakworld.SoakWorld, calls: Iterable[_soakcallers.Call]
) -> Iterator[str]:
    """Yields a message for each fault in the answers that callers got."""
    runs = world.count_runs()
    for call in calls:
        for reason in _check_call(world, call, runs[call.request_id]):
            yield f"{call.request_id} /{call.route}/ at {call.host}: {reason}"


def _check_call(
    world: _soakworld.SoakWorld, call: _soakcallers.Call, runs: int
) -> Iterator[str]:
    if call.route == "write" and runs > 1:
        yield f"ran {runs} times"
    if call.route == "write" and call.status in _NOT_RUN and runs:
        yield f"was refused with {call.status} and has run"
    if call.status in _HTTP_CLIENT_ERRORS and call.status not in _NOT_RUN:
        yield f"was denied with {call.status}"
    if call.status != _HTTP_OK:
        return
    if call.route == "all":
        yield from _check_merged(world, call)
    else:
        proof = call.headers.get("Server-Stamp", "")
        server = _find_server(world, proof, call)
        if server is None or call.body != b"".join(server.server.records):
            yield f"the answer is not that of {proof!r}"


def _check_merged(
    world: _soakworld.SoakWorld, call: _soakcallers.Call
) -> Iterator[str]:
    text = call.headers.get("Part-Stamps", "")
    proofs = [proof.strip() for proof in text.split(",")]
    servers = [_find_server(world, proof, call) for proof in proofs]
    found = [server for server in servers if server is not None]
    services = {server.service for server in found}
    if len(services) != len(proofs):
        yield f"its proofs are not of that many shards: {text}"
    missing = int(call.headers.get("Missing-Parts", "0"))
    if len(proofs) + missing != _soakworld.SHARDS:
        yield f"{len(proofs)} parts and {missing} missing ones"
    if len(proofs) < _soakworld.SHARDS * _soakworld.LEAST_SHARE:
        yield f"only {len(proofs)} parts"
    records = sorted(
        (record for server in found for record in server.server.records),
        reverse=True,
    )
    if call.body != b"".join(records[: _soakworld.TOP]):
        yield "its records are not the greatest of its parts"


def _find_server(
    world: _soakworld.SoakWorld, proof: str, call: _soakcallers.Call
) -> _soakworld.SoakServer | None:
    """Returns the server that issued a proof, if it is for this call."""
    server = world.all_servers.get(proof.rpartition(".")[0])
    if server is None:
        return None
    is_ours = server.server.proofs.get(proof) == call.request_id
    return server if is_ours else None


def check_servers(world: _soakworld.SoakWorld) -> Iterator[str]:
    """Yields misrouted requests and overruns of the retry budget."""
    by_service: dict[str, list[_wireserver.SeenRequest]] = (
        collections.defaultdict(list)
    )
    for server in world.all_servers.values():
        by_service[server.service].extend(server.server.seen)
        for request in server.server.seen:
            route = request.line.split("/")[1]
            fields = world.routes.get(route, {})
            names = fields.get("fanout-services", [fields.get("service")])
            if server.service not in names:
                yield f"{server.service} got {request.line}"
    for service, requests in by_service.items():
        yield from _check_budget(service, requests)


def _check_budget(
    service: str, requests: list[_wireserver.SeenRequest]
) -> Iterator[str]:
    """Checks the repeated requests in each budget window of a service.

    The budget holds for all hosts together.
    """
    seen: set[str] = set()
    window: collections.deque[tuple[float, bool]] = collections.deque()
    for request in sorted(requests, key=lambda r: r.read_ms):
        request_id = request.headers["request-id"]
        window.append((request.read_ms, request_id in seen))
        seen.add(request_id)
        start_ms = request.read_ms - _hostprocesses.BUDGET_WINDOW_S * _MS_PER_S
        while window[0][0] < start_ms:
            window.popleft()
        extras = sum(is_extra for _, is_extra in window)
        bound = _hostprocesses.BUDGET_SLACK + _hostprocesses.BUDGET_RATIO * (
            len(window) - extras
        )
        if extras > bound:
            yield f"{service} got {extras} repeats in a window, {bound:.0f} due"
            return


def check_calm(
    calls: Iterable[_soakcallers.Call], from_ms: float, leaving: str
) -> Iterator[str]:
    """Yields the calls that failed after the faults had ended.

    Args:
      calls: All calls.
      from_ms: When the deployment had recovered, in ms of the loop's clock.
      leaving: The host that was stopped in this period; calls to it may fail
        without a status.
    """
    for call in calls:
        if call.sent_ms < from_ms or call.status == _HTTP_OK:
            continue
        if call.host == leaving and not call.status:
            continue
        yield (
            f"{call.request_id} /{call.route}/ at {call.host}: status "
            f"{call.status} {call.error} in calm"
        )


def check_lateness(
    calls: Iterable[_soakcallers.Call], from_ms: float, timeout_ms: float
) -> Iterator[str]:
    """Yields the calls that took longer than the time-out of their route.

    Args:
      calls: All calls.
      from_ms: Calls sent earlier are ignored, in ms of the loop's clock.
      timeout_ms: The time-out of the routes.
    """
    for call in calls:
        if call.sent_ms >= from_ms and call.took_ms > timeout_ms + _LATE_MS:
            yield f"{call.request_id} took {call.took_ms:.0f} ms"
