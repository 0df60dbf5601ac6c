"""Fan-out requests, which go to every shard."""

import asyncio

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _merges
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _singlecalls

# If more shards are unresponsive, this host is probably at fault.
_MAX_UNRESPONSIVE_SHARDS = 3
# A margin of 20 of 347 ms was too short on busy hosts.
_RESPONSE_MARGIN_TARGET_SHARE = 0.08
# The part of the target for queueing, merging and sending to the caller.
_MIN_RESPONSE_MARGIN_MS = 20.0


class FanOut:
    """Sends a request to all shards of a route and merges their answers.

    Until shortly before the route's target time, the fan-out waits for a part
    from every shard. From then on it returns as soon as the parts reach the
    route's minimum coverage.
    """

    def __init__(
        self,
        context: _servicecalls.CallContext,
        request: _calls.CallerRequest,
        route: _resources.Route,
        deadline_ms: float,
    ) -> None:
        self._context = context
        self._route = route
        self._deadline_ms = deadline_ms
        response_margin_ms = max(
            _MIN_RESPONSE_MARGIN_MS,
            route.target_ms * _RESPONSE_MARGIN_TARGET_SHARE,
        )
        self._target_ms = (
            request.received_ms + route.target_ms - response_margin_ms
        )
        self._changed = asyncio.Event()
        self._calls = [
            _servicecalls.ServiceCall(
                context,
                request,
                route,
                service,
                deadline_ms,
                self._record_settled,
            )
            for service in route.shards
        ]
        self._parts: list[_calls.ServerAnswer] = []
        self._failed_count = 0

    @property
    def attempts(self) -> int:
        """The number of attempts that were sent to servers."""
        return sum(call.attempts for call in self._calls)

    @property
    def unanswered(self) -> list[str]:
        """Descriptions of the calls to shards that gave no part."""
        return [
            call.describe()
            for call in self._calls
            if call.answer is None or not call.answer.is_success
        ]

    async def run(self) -> _calls.Outcome:
        """Returns the merged answer, or a refusal if coverage is too low."""
        for call in self._calls:
            call.start()
        try:
            await self._wait()
        except asyncio.CancelledError:
            self._abandon_all()
            raise
        if self._route.meets_coverage(len(self._parts)):
            self._abandon_unsettled()
            return self._merge()
        self._abandon_all()
        is_late = self._context.clock.now_ms() >= self._deadline_ms
        reason = _calls.RefusalReason.LOW_COVERAGE
        if is_late:
            reason = _calls.RefusalReason.TIMEOUT
        return _singlecalls.create_refusal(reason, self.attempts > 0)

    async def _wait(self) -> None:
        while not self._is_finished():
            self._changed.clear()
            remaining_ms = self._next_check_ms() - self._context.clock.now_ms()
            try:
                async with asyncio.timeout(
                    base.to_seconds(max(0.0, remaining_ms))
                ):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _is_finished(self) -> bool:
        total = len(self._calls)
        if len(self._parts) + self._failed_count >= total:
            return True
        if not self._route.meets_coverage(total - self._failed_count):
            return True
        if (
            self._route.meets_coverage(len(self._parts))
            and self._is_rest_unresponsive()
        ):
            return True
        now_ms = self._context.clock.now_ms()
        if now_ms >= self._deadline_ms:
            return True
        return now_ms >= self._target_ms and self._route.meets_coverage(
            len(self._parts)
        )

    def _is_rest_unresponsive(self) -> bool:
        """Whether all unsettled shards have no responsive server."""
        unsettled = [call for call in self._calls if not call.is_settled]
        # Runs after each part, so the common case must be cheap.
        if len(unsettled) > _MAX_UNRESPONSIVE_SHARDS:
            return False
        return all(call.is_unresponsive for call in unsettled)

    def _next_check_ms(self) -> float:
        if self._context.clock.now_ms() < self._target_ms:
            return min(self._target_ms, self._deadline_ms)
        return self._deadline_ms

    def _merge(self) -> _calls.MergedAnswer:
        return _calls.MergedAnswer(
            proofs=tuple(part.proof for part in self._parts),
            missing=len(self._calls) - len(self._parts),
            body=_merges.merge_records(
                (part.body for part in self._parts), self._route.top_records
            ),
        )

    def _record_settled(self, call: _servicecalls.ServiceCall) -> None:
        if call.answer is not None and call.answer.is_success:
            self._parts.append(call.answer)
        else:
            self._failed_count += 1
        self._changed.set()

    def _abandon_unsettled(self) -> None:
        for call in self._calls:
            if not call.is_settled:
                call.abandon()

    def _abandon_all(self) -> None:
        for call in self._calls:
            call.abandon()
