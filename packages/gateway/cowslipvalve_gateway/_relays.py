"""Requests to a single service that go through another host."""

import asyncio
import contextlib
import logging

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _departures
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _hostrefusals
from cowslipvalve_gateway import _hoststreams
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _relaymessages
from cowslipvalve_gateway import _requestmessages
from cowslipvalve_gateway import _resources

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Earlier:
    """What servers may have got of a request before it is relayed."""

    # Whether a server may have the request.
    may_have_run: bool = False
    # The server that was asked first, empty if there is none.
    server: str = ""


class Relay:
    """Asks helpers one after the other for the answer of a service.

    A request that must not run twice goes to a further helper only if the one
    before has certainly sent nothing.
    """

    def __init__(
        self,
        context: _callcontexts.CallContext,
        request: _calls.CallerRequest,
        route: _resources.Route,
        service: str,
        deadline_ms: float,
        earlier: Earlier,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._deadline_ms = deadline_ms
        self._asked = earlier.server
        self._may_have_run = earlier.may_have_run

    async def run(self) -> _calls.Outcome:
        """Returns the outcome.

        Cancelling the call ends the work of the helper and its servers.
        """
        if self._context.crashes.blocks(self._request, self._service):
            return _refusals.create_refusal(
                _calls.RefusalReason.QUARANTINED,
                self._may_have_run,
                self._context.crashes.compute_remaining_ms(self._request),
            )
        try:
            async with asyncio.timeout(
                base.to_seconds(self._compute_remaining_ms())
            ):
                return await self._ask_helpers()
        except TimeoutError:
            return _refusals.create_refusal(
                _calls.RefusalReason.TIMEOUT, self._may_have_run
            )

    def _compute_remaining_ms(self) -> float:
        return max(0.0, self._deadline_ms - self._context.clock.now_ms())

    async def _ask_helpers(self) -> _calls.Outcome:
        last = _refusals.create_refusal(
            _calls.RefusalReason.NO_SERVER, self._may_have_run
        )
        is_unreached = False
        for host in self._context.detours.find_helpers(self._route):
            if self._may_have_run and not self._route.is_idempotent:
                break
            result = await self._try_to_ask(host)
            if result.outcome is None:
                continue
            if not isinstance(result.outcome, _calls.Refusal):
                return result.outcome
            last = self._merge_refusal(result.outcome)
            if result.outcome.reason is _calls.RefusalReason.NO_BUDGET:
                continue
            if not result.is_unreached:
                return last
            is_unreached = True
        if is_unreached:
            self._context.links.record_detour(self._service, False)
        if not self._may_have_run:
            return last
        reason = _calls.RefusalReason.LOST
        if last.reason is _calls.RefusalReason.NO_BUDGET:
            reason = last.reason
        return _refusals.create_refusal(reason, True)

    def _merge_refusal(self, refusal: _calls.Refusal) -> _calls.Refusal:
        """Returns a helper's refusal, which knows nothing of earlier sends."""
        if not self._may_have_run:
            return refusal
        return _refusals.create_refusal(refusal.reason, True)

    async def _try_to_ask(self, host: _resources.HostRecord) -> "_Result":
        """Returns the outcome at a host, without one if the host has failed."""
        may_have_run = self._may_have_run
        self._log("detour", host)
        self._context.measurements.count("relays")
        try:
            result = await self._ask(host)
        except _errors.UnsentError as error:
            self._may_have_run = may_have_run
            self._record_unsent(host, error)
            return _Result()
        except _errors.HostUnavailableError as error:
            self._context.host_health.record_failure(host.name)
            self._context.measurements.count("failed_relays")
            self._log("detour-failed", host, error=error)
            return _Result()
        outcome = result.outcome
        is_not_run = isinstance(outcome, _calls.Refusal) and outcome.is_not_run
        if is_not_run:
            self._may_have_run = may_have_run
        self._context.host_health.record_success(host.name)
        self._context.detours.record_success(host.name)
        if not is_not_run:
            self._context.links.record_detour(self._service, True)
        return result

    def _record_unsent(
        self, host: _resources.HostRecord, error: _errors.UnsentError
    ) -> None:
        if isinstance(error, _hostrefusals.HostRefusedError):
            self._context.detours.record_refusal(host.name, error.reason)
            self._log("host-refused", host, error=error)
            return
        self._context.host_health.record_failure(host.name)
        self._context.measurements.count("failed_relays")
        self._log("detour-failed", host, error=error)

    async def _ask(self, host: _resources.HostRecord) -> "_Result":
        """Returns the outcome at a host.

        Raises:
          UnsentError: Nothing was sent to servers.
          HostUnavailableError: The request may have been sent to servers.
        """
        message = self._create_message()
        # From here on, a cancelled request may have been sent.
        self._may_have_run = True
        bound_ms = (
            _hoststreams.SILENCE_MS
            + self._context.detours.find_round_trip_ms(host)
        )
        silence_ms = bound_ms
        if not self._route.is_idempotent:
            # Another host could not replace this one anyway.
            silence_ms = max(bound_ms, self._compute_remaining_ms())
        reports = self._context.relays.ask(
            host.state_address, message, bound_ms, silence_ms
        )
        body = bytearray()
        last = _relaymessages.RelayReport()
        try:
            # Reads on to the end, so that the connection can be used again.
            async with contextlib.aclosing(reports):
                async for report in reports:
                    self._asked = report.asked or self._asked
                    body += report.read_body()
                    last = report
            _departures.record_leaving(self._context.catalog, last.leaving)
            return _read_result(last, bytes(body), self._route)
        except base.InputError as error:
            raise _errors.HostUnavailableError(
                str(error), step="relay", peer=host.name
            ) from error

    def _create_message(self) -> _relaymessages.RelayRequest:
        return _relaymessages.RelayRequest(
            request=_requestmessages.create_request_message(self._request),
            route=self._route,
            service=self._service,
            remaining_ms=self._compute_remaining_ms(),
            is_repeat=self._may_have_run,
            asked=self._asked if self._may_have_run else "",
        )

    def _log(
        self, event: str, host: _resources.HostRecord, **fields: object
    ) -> None:
        base.log_event(
            _logger,
            event,
            request=self._request.request_id,
            host=host.name,
            service=self._service,
            **fields,
        )


@attrs.frozen(kw_only=True)
class _Result:
    """What became of a request at a helper."""

    # None if the helper has failed.
    outcome: _calls.Outcome | None = None
    # Whether the helper reached no server of the service.
    is_unreached: bool = False


def _read_result(
    last: _relaymessages.RelayReport, body: bytes, route: _resources.Route
) -> _Result:
    """Returns the result that the last report tells.

    Helpers of earlier versions pass on denials.

    Raises:
      InputError: The report has no valid outcome.
    """
    if last.answer is not None:
        answer = last.answer.to_server_answer(body)
        return _Result(outcome=_refusals.withhold_denial(answer, route))
    if last.refusal is None:
        raise base.InputError("no outcome", step="read-relay-report")
    refusal = _calls.Refusal(
        reason=last.refusal.reason,
        is_not_run=last.refusal.is_not_run,
        retry_after_ms=last.refusal.retry_after_ms,
    )
    return _Result(outcome=refusal, is_unreached=last.refusal.is_unreached)


def create_relay(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
    service: str,
    deadline_ms: float,
    earlier: Earlier,
) -> Relay:
    """Creates a relay that is not started.

    Args:
      context: The state that all calls share.
      request: The caller's request.
      route: The request's route.
      service: The service to ask.
      deadline_ms: When to give up, on the process's clock.
      earlier: What servers may have got of the request.
    """
    return Relay(context, request, route, service, deadline_ms, earlier)
