"""Server side of group requests between hosts (HTTP, lines of JSON)."""

import asyncio
import logging

from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _groupgathers
from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _servicecalls

_HTTP_BAD_REQUEST = 400
_LINE_END = b"\n"

_logger = logging.getLogger(__name__)


class GroupHandler:
    """Asks the shards of a group for another host.

    The response starts at once, with an empty report, and continues with a
    report of each few parts. If the other host closes the connection, the
    handler's task is cancelled, which ends the servers' work.

    Attributes:
      running_requests: The number of requests in progress.
    """

    def __init__(self, context: _servicecalls.CallContext) -> None:
        self._context = context
        self.running_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to one group request."""
        try:
            message = base.decode(
                _groupmessages.GroupRequest, await request.read()
            )
            gather = _groupgathers.create_group_gather(self._context, message)
        except base.InputError as error:
            base.log_event(
                _logger, "group-refused", logging.WARNING, error=error
            )
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))
        self.running_requests += 1
        try:
            return await self._respond(request, message, gather)
        finally:
            self.running_requests -= 1

    async def _respond(
        self,
        request: web.BaseRequest,
        message: _groupmessages.GroupRequest,
        gather: _groupgathers.GroupGather,
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await _write(response, _groupmessages.GroupReport())
        # A host that was frozen reads the close of the connection after the
        # request; it must not start work then.
        await asyncio.sleep(0)
        gather.start()
        answered = 0
        try:
            while not gather.is_finished:
                report = await gather.next_report()
                answered += len(report.answered)
                await _write(response, report)
        finally:
            gather.abandon()
            self._log(message, answered)
        await response.write_eof()
        return response

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


async def _write(
    response: web.StreamResponse, report: _groupmessages.GroupReport
) -> None:
    await response.write(base.encode(report) + _LINE_END)


def create_group_handler(context: _servicecalls.CallContext) -> GroupHandler:
    """Creates the handler of group requests."""
    return GroupHandler(context)
