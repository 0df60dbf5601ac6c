"""Server side of group requests between hosts (HTTP, lines of JSON)."""

import functools
import logging

import attrs
from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _groupgathers
from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _hostrefusals
from cowslipvalve_gateway import _hoststreams
from cowslipvalve_gateway import _looplags
from cowslipvalve_gateway import _relayadmissions

_HTTP_BAD_REQUEST = 400

_logger = logging.getLogger(__name__)


class GroupHandler:
    """Asks the shards of a group for another host.

    The response starts at once, with a report of the servers that are asked,
    and continues with a report of each few parts. If the other host closes the
    connection, the handler's task is cancelled, which ends the servers' work.

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
        """Returns the response to one group request.

        A host that does not reach the servers refuses it and never passes it
        on, so that no request goes in a circle.
        """
        if self._context.links.is_stranded:
            return _hostrefusals.create_response(
                _hostrefusals.HostRefusalReason.STRANDED
            )
        try:
            message = base.decode(
                _groupmessages.GroupRequest, await request.read()
            )
            gather = _groupgathers.create_group_gather(
                self._context, self._subtract_lag(message)
            )
        except base.InputError as error:
            base.log_event(
                _logger, "group-refused", logging.WARNING, error=error
            )
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))
        self.running_requests += 1
        try:
            if not message.is_detour:
                return await self._respond(request, message, gather)
            return await self._respond_to_detour(request, message, gather)
        finally:
            self.running_requests -= 1

    async def _respond_to_detour(
        self,
        request: web.BaseRequest,
        message: _groupmessages.GroupRequest,
        gather: _groupgathers.GroupGather,
    ) -> web.StreamResponse:
        with self._admission.count_running(len(message.route.shards)):
            refusal = self._admission.find_refusal()
            if refusal is not None:
                return _hostrefusals.create_response(refusal)
            return await self._respond(request, message, gather)

    def _subtract_lag(
        self, message: _groupmessages.GroupRequest
    ) -> _groupmessages.GroupRequest:
        """Returns the message without the time that it waited unread."""
        lag_ms = self._lag.compute_wait_ms(message.remaining_ms)
        return attrs.evolve(
            message,
            remaining_ms=message.remaining_ms - lag_ms,
            target_remaining_ms=message.target_remaining_ms - lag_ms,
        )

    async def _respond(
        self,
        request: web.BaseRequest,
        message: _groupmessages.GroupRequest,
        gather: _groupgathers.GroupGather,
    ) -> web.StreamResponse:
        return await _hoststreams.respond(
            request, functools.partial(self._write_reports, message, gather)
        )

    async def _write_reports(
        self,
        message: _groupmessages.GroupRequest,
        gather: _groupgathers.GroupGather,
        response: web.StreamResponse,
    ) -> None:
        answered = 0
        try:
            await _hoststreams.write_report(response, gather.start())
            while not gather.is_finished:
                report = await gather.next_report()
                answered += len(report.answered)
                await _hoststreams.write_report(response, report)
        finally:
            gather.abandon()
            self._log(message, answered)

    def _log(self, message: _groupmessages.GroupRequest, answered: int) -> None:
        self._context.measurements.count("group_requests")
        base.log_event(
            _logger,
            "group",
            request=message.request_id,
            route=message.route.name,
            version=message.version,
            shards=len(message.route.shards),
            parts=answered,
            repeat=message.is_repeat,
        )


def create_group_handler(
    context: _callcontexts.CallContext,
    lag: _looplags.LoopLag,
    admission: _relayadmissions.RelayAdmission,
) -> GroupHandler:
    """Creates the handler of group requests.

    Args:
      context: The state that all calls share.
      lag: The lag of this host's event loop.
      admission: Bounds the requests that are sent for hosts that do not reach
        the servers.
    """
    return GroupHandler(context, lag, admission)
