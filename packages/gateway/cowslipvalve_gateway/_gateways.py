"""The way of a caller's request through a host."""

import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _fanouts
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _singlecalls
from cowslipvalve_gateway import _splits

_START_WAIT_MS = 200.0  # Most lists of the state end within this time.
_START_RETRY_MS = 500.0  # A host that starts reads its state in this time.

_logger = logging.getLogger(__name__)


class Gateway:
    """Finds the route of a request and serves it."""

    def __init__(self, tools: _servicecalls.CallContext) -> None:
        self._tools = tools
        self._splits = _splits.create_splitter()
        self._known_version = 0

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self._tools.catalog.is_complete

    async def handle(self, request: _calls.CallerRequest) -> _calls.Outcome:
        """Returns the answer to a request, or why there is none."""
        catalog = self._tools.catalog
        if not catalog.is_complete:
            await catalog.wait_until_complete(_START_WAIT_MS)
        table = catalog.table
        if table is None or not catalog.is_complete:
            outcome: _calls.Outcome = _calls.Refusal(
                reason=_calls.RefusalReason.NO_CONFIGURATION,
                is_not_run=True,
                retry_after_ms=_START_RETRY_MS,
            )
            self._log(request, "", 0, outcome)
            return outcome
        if table.version != self._known_version:
            self._forget_other_versions(table)
        route = table.find_route(request.host, request.path)
        if route is None:
            outcome = _calls.Refusal(
                reason=_calls.RefusalReason.NO_ROUTE, is_not_run=True
            )
            self._log(request, "", table.version, outcome)
            return outcome
        outcome = await self._serve(request, route)
        self._log(request, route.name, table.version, outcome)
        return outcome

    def _forget_other_versions(self, table: _resources.RoutingTable) -> None:
        """Drops what was learned of routes and services that are gone."""
        self._known_version = table.version
        self._splits.keep_routes(table.routes)
        self._tools.selector.keep_routes({r.name for r in table.routes})
        self._tools.keep_services(table.services)

    async def _serve(
        self, request: _calls.CallerRequest, route: _resources.Route
    ) -> _calls.Outcome:
        deadline_ms = min(
            request.deadline_ms, request.received_ms + route.timeout_ms
        )
        if not route.is_fan_out:
            service = self._splits.choose(route)
            return await _singlecalls.call_single(
                self._tools, request, route, service, deadline_ms
            )
        usable = self._count_usable(route)
        if not route.is_enough(usable):
            base.log_event(
                _logger,
                "too-few-shards",
                request=request.request_id,
                usable=usable,
                shards=len(route.shards),
                least=route.min_coverage,
            )
            return _singlecalls.refuse(_calls.RefusalReason.NO_SERVER, False)
        fan_out = _fanouts.FanOut(self._tools, request, route, deadline_ms)
        outcome = await fan_out.run()
        unanswered = fan_out.unanswered
        if unanswered:
            self._tools.measurements.count(
                "missing_shards", route.name, len(unanswered)
            )
            base.log_event(
                _logger,
                "shards-missing",
                request=request.request_id,
                shards=",".join(unanswered),
                attempts=fan_out.attempts,
            )
        return outcome

    def _count_usable(self, route: _resources.Route) -> int:
        return sum(
            1
            for service in route.shards
            if self._tools.selector.usable(route, service)
        )

    def _log(
        self,
        request: _calls.CallerRequest,
        route: str,
        version: int,
        outcome: _calls.Outcome,
    ) -> None:
        took_ms = self._tools.clock.now_ms() - request.received_ms
        described = _describe(outcome)
        self._tools.measurements.count("requests", str(described["outcome"]))
        self._tools.measurements.add_latency("request", route, took_ms)
        if "reason" in described:
            self._tools.measurements.count("refusals", str(described["reason"]))
        base.log_event(
            _logger,
            "request",
            request=request.request_id,
            route=route,
            version=version,
            took_ms=round(took_ms),
            **described,
        )


def _describe(outcome: _calls.Outcome) -> dict[str, object]:
    if isinstance(outcome, _calls.ServerAnswer):
        return {"outcome": "answered", "status": outcome.status}
    if isinstance(outcome, _calls.MergedAnswer):
        return {
            "outcome": "merged",
            "parts": len(outcome.proofs),
            "missing": outcome.missing,
        }
    return {
        "outcome": "refused",
        "reason": outcome.reason.value,
        "not_run": outcome.is_not_run,
    }


def create_gateway(tools: _servicecalls.CallContext) -> Gateway:
    """Returns the gateway of a host."""
    return Gateway(tools)
