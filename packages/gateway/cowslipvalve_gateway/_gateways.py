"""Request handling: routing, dispatch to servers, and logging."""

import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _admissions
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _canaries
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _fanouts
from cowslipvalve_gateway import _groupcalls
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _singlecalls
from cowslipvalve_gateway import _splits
from cowslipvalve_gateway import _stopplans
from cowslipvalve_gateway import _suspects

_STARTUP_WAIT_MS = 200.0  # Most listings of the state take less time.
# A starting host reads its state within this time.
_STARTUP_RETRY_AFTER_MS = 500.0
_STOPPING_RETRY_AFTER_MS = 0.0  # Another host takes the request at once.

_logger = logging.getLogger(__name__)


class Gateway:
    """Routes caller requests and returns their outcomes."""

    def __init__(self, context: _callcontexts.CallContext) -> None:
        self._context = context
        self._splitter = _splits.create_splitter()
        self._known_version = 0
        self._stop_plan: _stopplans.StopPlan | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the state that serving requires is known."""
        context = self._context
        return context.catalog.is_complete and context.limit_reader.is_done

    def plan_stop(self, end_ms: float) -> None:
        """Refuses requests from now on that would not end in time.

        Args:
          end_ms: When the last requests are ended, on the process's clock.
        """
        self._stop_plan = _stopplans.StopPlan(end_ms=end_ms)

    async def handle(self, request: _calls.CallerRequest) -> _calls.Outcome:
        """Returns the answer to a request, or a refusal if there is none."""
        catalog = self._context.catalog
        if not catalog.is_complete:
            await catalog.wait_until_complete(_STARTUP_WAIT_MS)
        table = catalog.table
        if table is None or not catalog.is_complete:
            outcome: _calls.Outcome = _calls.Refusal(
                reason=_calls.RefusalReason.NO_CONFIGURATION,
                is_not_run=True,
                retry_after_ms=_STARTUP_RETRY_AFTER_MS,
            )
            self._log_outcome(request, "", 0, outcome)
            return outcome
        await self._context.limit_reader.wait_until_done()
        if table.version != self._known_version:
            self._discard_removed_routes(table)
        route = table.find_route(request.host, request.path)
        if route is None:
            outcome = _calls.Refusal(
                reason=_calls.RefusalReason.NO_ROUTE, is_not_run=True
            )
            self._log_outcome(request, "", table.version, outcome)
            return outcome
        outcome = await self._serve(request, route)
        if _is_complete(outcome):
            self._context.crashes.record_answer(request)
        self._log_outcome(request, route.name, table.version, outcome)
        return outcome

    def _discard_removed_routes(self, table: _resources.RoutingTable) -> None:
        """Discards splits, latencies and budgets that a new table removes."""
        self._known_version = table.version
        self._splitter.retain_routes(table.routes)
        self._context.selector.retain_routes({r.name for r in table.routes})
        self._context.retain_services(table.services)

    async def _serve(
        self, request: _calls.CallerRequest, route: _resources.Route
    ) -> _calls.Outcome:
        deadline_ms = min(
            request.deadline_ms, request.received_ms + route.timeout_ms
        )
        plan = self._stop_plan
        if plan is not None:
            now_ms = self._context.clock.now_ms()
            if not plan.has_time_for(route, now_ms, deadline_ms):
                return _refuse_stopping()
            deadline_ms = min(deadline_ms, plan.end_ms)
        if route.is_fan_out:
            refusal = _admissions.refuse_fan_out(self._context, request, route)
            if refusal is not None:
                return refusal
        permit = await _canaries.obtain_permit(self._context, request)
        if permit is _suspects.Permit.DENIED:
            return _refusals.create_refusal(_calls.RefusalReason.SUSPECT, False)
        outcome = await self._send(request, route, deadline_ms, permit)
        is_unsent = isinstance(outcome, _calls.Refusal) and outcome.is_not_run
        if permit is _suspects.Permit.GRANTED and is_unsent:
            self._context.crashes.return_permit(request)
        return outcome

    async def _send(
        self,
        request: _calls.CallerRequest,
        route: _resources.Route,
        deadline_ms: float,
        permit: _suspects.Permit,
    ) -> _calls.Outcome:
        if not route.is_fan_out:
            service = self._splitter.choose(route)
            return await _singlecalls.call_single(
                self._context, request, route, service, deadline_ms
            )
        first: _groupcalls.Parts | _calls.Refusal | None = None
        if permit is _suspects.Permit.GRANTED:
            first = await _canaries.ask_one_shard(
                self._context, request, route, deadline_ms
            )
        if isinstance(first, _calls.Refusal):
            return first
        fan_out = _fanouts.FanOut(
            self._context, request, route, deadline_ms, first
        )
        outcome = await fan_out.run()
        unanswered = fan_out.unanswered
        if unanswered:
            self._context.measurements.count(
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

    def _log_outcome(
        self,
        request: _calls.CallerRequest,
        route: str,
        version: int,
        outcome: _calls.Outcome,
    ) -> None:
        took_ms = self._context.clock.now_ms() - request.received_ms
        log_fields = _describe_outcome(outcome)
        self._context.measurements.count("requests", str(log_fields["outcome"]))
        self._context.measurements.add_latency("request", route, took_ms)
        if "reason" in log_fields:
            self._context.measurements.count(
                "refusals", str(log_fields["reason"])
            )
        base.log_event(
            _logger,
            "request",
            request=request.request_id,
            route=route,
            version=version,
            took_ms=round(took_ms),
            **log_fields,
        )


def _refuse_stopping() -> _calls.Refusal:
    return _calls.Refusal(
        reason=_calls.RefusalReason.STOPPING,
        is_not_run=True,
        retry_after_ms=_STOPPING_RETRY_AFTER_MS,
    )


def _is_complete(outcome: _calls.Outcome) -> bool:
    """Whether every service of a request has answered it."""
    if isinstance(outcome, _calls.MergedAnswer):
        return not outcome.missing
    return isinstance(outcome, _calls.ServerAnswer)


def _describe_outcome(outcome: _calls.Outcome) -> dict[str, object]:
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


def create_gateway(context: _callcontexts.CallContext) -> Gateway:
    """Creates the gateway of a host."""
    return Gateway(context)
