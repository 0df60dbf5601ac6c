"""Server side of relayed requests between hosts (HTTP, lines of JSON)."""

import asyncio
import functools
import logging

from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _departures
from cowslipvalve_gateway import _hostrefusals
from cowslipvalve_gateway import _hoststreams
from cowslipvalve_gateway import _looplags
from cowslipvalve_gateway import _relayadmissions
from cowslipvalve_gateway import _relaymessages
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _singleoutcomes

_HTTP_BAD_REQUEST = 400

_logger = logging.getLogger(__name__)


class RelayHandler:
    """Sends requests to servers for a host that does not reach them.

    The response starts at once, with the server that is asked, and ends with
    the outcome. If the other host closes the connection, the handler's task is
    cancelled, which ends the server's work.

    Attributes:
      running_requests: The number of requests in progress.
    """

    def __init__(
        self,
        context: _callcontexts.CallContext,
        lag: _looplags.LoopLag,
        admission: _relayadmissions.RelayAdmission,
    ) -> None:
        self._context = context
        self._lag = lag
        self._admission = admission
        self.running_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to one relayed request.

        A host that does not reach the servers refuses it and never passes it
        on, so that no request goes in a circle.
        """
        self.running_requests += 1
        try:
            with self._admission.count_running(1):
                return await self._handle(request)
        finally:
            self.running_requests -= 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        refusal = self._admission.find_refusal()
        if refusal is not None:
            return _hostrefusals.create_response(refusal)
        received_ms = self._context.clock.now_ms()
        try:
            message = base.decode(
                _relaymessages.RelayRequest, await request.read()
            )
            lag_ms = self._lag.compute_wait_ms(message.remaining_ms)
            caller_request = message.request.to_caller_request(
                received_ms, message.remaining_ms - lag_ms
            )
        except base.InputError as error:
            base.log_event(
                _logger, "relay-malformed", logging.WARNING, error=error
            )
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))
        return await _hoststreams.respond(
            request,
            functools.partial(self._write_reports, message, caller_request),
        )

    async def _write_reports(
        self,
        message: _relaymessages.RelayRequest,
        caller_request: _calls.CallerRequest,
        response: web.StreamResponse,
    ) -> None:
        settled = asyncio.Event()
        call = _servicecalls.ServiceCall(
            self._context,
            caller_request,
            message.route,
            message.service,
            caller_request.deadline_ms,
            lambda _: settled.set(),
            repeat=_create_repeat(message),
        )
        call.start()
        try:
            await _hoststreams.write_report(
                response, _relaymessages.RelayReport(asked=call.first_server)
            )
            while not await self._wait(settled, caller_request.deadline_ms):
                await _hoststreams.write_report(
                    response,
                    _relaymessages.RelayReport(asked=call.first_server),
                )
            outcome = _singleoutcomes.create_outcome(
                self._context, caller_request, message.route, call
            )
        finally:
            if not call.is_settled:
                call.abandon()
        self._record(message, caller_request, call, outcome)
        is_unreached = _singleoutcomes.is_unreached(call)
        if is_unreached:
            call.withdraw()
        leaving = _departures.find_leaving(
            self._context.catalog, message.service
        )
        for report in _relaymessages.create_last_reports(
            outcome, is_unreached, leaving
        ):
            await _hoststreams.write_report(response, report)

    async def _wait(self, settled: asyncio.Event, deadline_ms: float) -> bool:
        """Waits until the outcome is known or a report is due."""
        remaining_ms = deadline_ms - self._context.clock.now_ms()
        try:
            async with asyncio.timeout(
                base.to_seconds(
                    min(_hoststreams.PROGRESS_INTERVAL_MS, remaining_ms)
                )
            ):
                await settled.wait()
        except TimeoutError:
            return self._context.clock.now_ms() >= deadline_ms
        return True

    def _record(
        self,
        message: _relaymessages.RelayRequest,
        request: _calls.CallerRequest,
        call: _servicecalls.ServiceCall,
        outcome: _calls.Outcome,
    ) -> None:
        is_answered = isinstance(outcome, _calls.ServerAnswer)
        if is_answered:
            self._context.crashes.record_answer(request)
        self._context.measurements.count("relayed_requests")
        base.log_event(
            _logger,
            "relayed",
            request=request.request_id,
            route=message.route.name,
            call=call.describe(),
            answered=is_answered,
            repeat=message.is_repeat,
        )


def _create_repeat(
    message: _relaymessages.RelayRequest,
) -> _attempts.Repeat | None:
    if not message.is_repeat:
        return None
    return _attempts.Repeat(server=message.asked)


def create_relay_handler(
    context: _callcontexts.CallContext,
    lag: _looplags.LoopLag,
    admission: _relayadmissions.RelayAdmission,
) -> RelayHandler:
    """Creates the handler of relayed requests.

    Args:
      context: The state that all calls share.
      lag: The lag of this host's event loop.
      admission: Bounds the requests that are sent for other hosts.
    """
    return RelayHandler(context, lag, admission)
