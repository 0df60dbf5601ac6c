"""Asks the shards of a group and collects reports of their parts."""

import asyncio
import base64

import cowslipvalve_base as base
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _departures
from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _hoststreams
from cowslipvalve_gateway import _merges
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _servicewaits
from cowslipvalve_gateway import _singleoutcomes

# Parts that arrive within this time share a report, which saves messages.
_REPORT_DELAY_MS = 12.0
# The time of a report to the other host and of its merge there.
_REPORT_MARGIN_MS = 8.0


class GroupGather:
    """Runs the calls of one group request."""

    def __init__(
        self,
        context: _callcontexts.CallContext,
        message: _groupmessages.GroupRequest,
        request: _calls.CallerRequest,
    ) -> None:
        self._clock = context.clock
        self._catalog = context.catalog
        self._route = message.route
        self._is_detour = message.is_detour
        self._target_ms = request.received_ms + message.target_remaining_ms
        self._deadline_ms = request.deadline_ms
        self._changed = asyncio.Event()
        self._answered: list[_servicecalls.ServiceCall] = []
        # The shards that failed, with the time until their servers' rate
        # limits allow a request.
        self._failed: dict[str, float] = {}
        self._unreached: list[str] = []
        self._unknown = [
            service
            for service in message.route.shards
            if _is_out_of_reach(context, message.route, service)
        ]
        repeats = {
            service: _attempts.Repeat(server=server)
            for service, server in zip(
                message.route.shards, message.asked, strict=False
            )
        }
        self._calls = [
            _servicecalls.ServiceCall(
                context,
                request,
                message.route,
                service,
                request.deadline_ms,
                self._record_settled,
                repeat=repeats.get(service),
            )
            for service in message.route.shards
            if service not in self._unknown
        ]
        self._unsettled = len(self._calls)

    @property
    def is_finished(self) -> bool:
        """Whether every shard was reported."""
        has_news = self._answered or self._failed or self._unknown
        return not self._unsettled and not has_news

    def start(self) -> _groupmessages.GroupReport:
        """Starts all calls; returns the first report."""
        for call in self._calls:
            call.start()
        servers = {call.service: call.first_server for call in self._calls}
        return _groupmessages.GroupReport(
            asked=tuple(servers.get(s, "") for s in self._route.shards)
        )

    def abandon(self) -> None:
        """Cancels the calls that have no answer."""
        for call in self._calls:
            if not call.is_settled:
                call.abandon()

    async def next_report(self) -> _groupmessages.GroupReport:
        """Returns the next parts, or an empty report after a while."""
        if not await self._wait_for_news(_hoststreams.PROGRESS_INTERVAL_MS):
            if self._clock.now_ms() < self._deadline_ms:
                return _groupmessages.GroupReport()
            self._fail_unsettled()
        if self._unsettled:
            await self._wait_for_more_parts()
        return self._take_report()

    async def _wait_for_news(self, timeout_ms: float) -> bool:
        if self._answered or self._failed or self._unknown:
            return True
        self._changed.clear()
        try:
            async with asyncio.timeout(base.to_seconds(timeout_ms)):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _wait_for_more_parts(self) -> None:
        """Waits for parts that a report can hold without being late."""
        now_ms = self._clock.now_ms()
        latest_ms = min(
            now_ms + _REPORT_DELAY_MS, self._target_ms - _REPORT_MARGIN_MS
        )
        while self._unsettled and now_ms < latest_ms:
            self._changed.clear()
            try:
                async with asyncio.timeout(base.to_seconds(latest_ms - now_ms)):
                    await self._changed.wait()
            except TimeoutError:
                return
            now_ms = self._clock.now_ms()

    def _fail_unsettled(self) -> None:
        for call in self._calls:
            if not call.is_settled:
                call.abandon()
                self._failed[call.service] = call.wait_ms
        self._unsettled = 0

    def _take_report(self) -> _groupmessages.GroupReport:
        answers = [
            (call.service, call.answer)
            for call in self._answered
            if call.answer is not None
        ]
        records = _merges.merge_records(
            (answer.body for _, answer in answers), self._route.top_records
        )
        report = _groupmessages.GroupReport(
            answered=tuple(service for service, _ in answers),
            proofs=tuple(answer.proof for _, answer in answers),
            records=base64.b64encode(records).decode(),
            failed=tuple(self._failed),
            waits_ms=tuple(self._failed.values()),
            unreached=tuple(self._unreached),
            unknown=tuple(self._unknown),
            leaving=tuple(
                leaving
                for call in self._answered
                for leaving in _departures.find_leaving(
                    self._catalog, call.service
                )
            ),
        )
        self._answered, self._failed, self._unknown = [], {}, []
        self._unreached = []
        return report

    def _record_settled(self, call: _servicecalls.ServiceCall) -> None:
        self._unsettled -= 1
        if call.answer is not None and call.answer.is_success:
            self._answered.append(call)
        else:
            self._failed[call.service] = call.wait_ms
            if _singleoutcomes.is_unreached(call):
                self._unreached.append(call.service)
                if self._is_detour:
                    call.withdraw()
        self._changed.set()


def _is_out_of_reach(
    context: _callcontexts.CallContext, route: _resources.Route, service: str
) -> bool:
    if context.selector.find_usable(route, service):
        return _servicewaits.is_cut_off(context, route, service)
    return not context.selector.find_pause_ms(route, service)


def create_group_gather(
    context: _callcontexts.CallContext, message: _groupmessages.GroupRequest
) -> GroupGather:
    """Creates a gather that is not started.

    Raises:
      InputError: The message's body is not valid.
    """
    request = message.to_caller_request(context.clock.now_ms())
    return GroupGather(context, message, request)
