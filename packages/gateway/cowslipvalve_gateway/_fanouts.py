"""Fan-out requests, which go to every shard."""

import asyncio
from collections.abc import Collection
from collections.abc import Mapping

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _groupcalls
from cowslipvalve_gateway import _groupplans
from cowslipvalve_gateway import _merges
from cowslipvalve_gateway import _refusals
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _servicewaits

# If more shards are unresponsive, this host is probably at fault.
_MAX_UNRESPONSIVE_SHARDS = 3
# A margin of 20 of 347 ms was too short on busy hosts.
_RESPONSE_MARGIN_TARGET_SHARE = 0.08
# The part of the target for queueing, merging and sending to the caller.
_MIN_RESPONSE_MARGIN_MS = 20.0
# Another host asks up to so many shards within the targets.
_MAX_DETOUR_SHARDS = 40
# The time to read the last reports of other hosts, all at once.
_GROUP_MARGIN_MS = 6.0


class FanOut:
    """Sends a request to all shards of a route and merges their answers.

    The shards of a large fan-out are asked by several hosts, in groups; those
    of a small one by this host. Shards whose servers this host does not reach
    are asked by other hosts. Until shortly before the route's target time, the
    fan-out waits for a part from every shard. From then on it returns as soon
    as the parts reach the route's minimum coverage.
    """

    def __init__(
        self,
        context: _callcontexts.CallContext,
        request: _calls.CallerRequest,
        route: _resources.Route,
        deadline_ms: float,
        first: _groupcalls.Parts | None = None,
    ) -> None:
        """Creates a fan-out that is not started.

        Args:
          context: The state that all calls share.
          request: The caller's request.
          route: The request's route.
          deadline_ms: When to give up, on the process's clock.
          first: Parts of shards that were asked before, if any.
        """
        self._context = context
        self._request = request
        self._route = route
        self._deadline_ms = deadline_ms
        cut_off = {
            shard: None
            for shard in route.shards
            if _servicewaits.is_cut_off(context, route, shard)
        }
        planner = context.catalog.planner
        groups = planner.find_groups(route.shards) if planner else ()
        shards = route.shards
        if first is not None:
            shards = tuple(s for s in shards if s not in first.shards)
            groups = _retain_shards(groups, shards)
            cut_off = {s: None for s in cut_off if s in shards}
        direct = () if groups else shards
        if cut_off and not groups:
            direct = tuple(s for s in direct if s not in cut_off)
            groups = _create_detour_groups(tuple(cut_off))
        self._target_ms = (
            request.received_ms
            + route.target_ms
            - _compute_margin_ms(route, bool(groups))
        )
        self._changed = asyncio.Event()
        self._is_ended = False
        self._parts: list[_groupcalls.Parts] = []
        self._answered: set[str] = set()
        self._failed_count = 0
        # The calls that settled without an answer, as their servers have come
        # to be out of reach.
        self._cut_off_calls: list[_servicecalls.ServiceCall] = []
        self._group_calls = [
            self._create_group_call(
                group, is_detour=any(s in cut_off for s in group.shards)
            )
            for group in groups
        ]
        self._calls = [
            _servicecalls.ServiceCall(
                context,
                request,
                route,
                service,
                deadline_ms,
                self._record_settled,
            )
            for service in direct
        ]
        if first is not None:
            self.add_parts(first)

    @property
    def attempts(self) -> int:
        """The number of attempts that this host sent to servers."""
        own = sum(call.attempts for call in self._calls)
        return own + sum(call.attempts for call in self._group_calls)

    @property
    def unanswered(self) -> list[str]:
        """Descriptions of the shards that gave no part."""
        described = {call.service: call.describe() for call in self._calls}
        return [
            described.get(shard, shard)
            for shard in self._route.shards
            if shard not in self._answered
        ]

    async def run(self) -> _calls.Outcome:
        """Returns the merged answer, or a refusal if coverage is too low."""
        for call in self._calls:
            call.start()
        for group_call in self._group_calls:
            group_call.start()
        try:
            await self._wait()
        except asyncio.CancelledError:
            self._abandon_all()
            raise
        if self._route.meets_coverage(len(self._answered)):
            self._abandon_unsettled()
            return self._merge()
        self._abandon_all()
        is_late = self._context.clock.now_ms() >= self._deadline_ms
        reason = _calls.RefusalReason.LOW_COVERAGE
        if is_late:
            reason = _calls.RefusalReason.TIMEOUT
        return _refusals.create_refusal(reason, self._may_have_run())

    def add_parts(self, parts: _groupcalls.Parts) -> None:
        """Takes parts of shards that had none."""
        self._parts.append(parts)
        self._answered.update(parts.shards)
        self._changed.set()

    def add_failed(self, shards: Collection[str]) -> None:
        """Counts shards that will have no part."""
        self._failed_count += len(shards)
        self._changed.set()

    def _may_have_run(self) -> bool:
        was_sent = any(call.was_sent for call in self._group_calls)
        return was_sent or self.attempts > 0 or bool(self._answered)

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
        total = len(self._route.shards)
        answered = len(self._answered)
        if answered + self._failed_count >= total:
            return True
        if not self._route.meets_coverage(total - self._failed_count):
            return True
        if not self._route.meets_coverage(answered):
            return self._context.clock.now_ms() >= self._deadline_ms
        if self._is_rest_unresponsive():
            return True
        return self._context.clock.now_ms() >= min(
            self._target_ms, self._deadline_ms
        )

    def _is_rest_unresponsive(self) -> bool:
        """Whether all unsettled shards have no responsive server."""
        if self._group_calls or self._cut_off_calls:
            return False
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
            proofs=tuple(p for parts in self._parts for p in parts.proofs),
            missing=len(self._route.shards) - len(self._answered),
            body=_merges.merge_records(
                (parts.records for parts in self._parts),
                self._route.top_records,
            ),
        )

    def _create_group_call(
        self,
        group: _groupplans.ShardGroup,
        is_detour: bool,
        asked: Mapping[str, str] | None = None,
    ) -> _groupcalls.GroupCall:
        return _groupcalls.GroupCall(
            self._context,
            self._request,
            self._route,
            group,
            self._target_ms,
            self._deadline_ms,
            self,
            is_detour=is_detour,
            asked=asked,
        )

    def _record_settled(self, call: _servicecalls.ServiceCall) -> None:
        if not self._may_detour(call):
            _groupcalls.report_settled(call, self)
            return
        call.withdraw()
        if not self._cut_off_calls:
            # Links that are lost end other calls in the same turn.
            asyncio.get_running_loop().call_soon(self._start_detours)
        self._cut_off_calls.append(call)

    def _may_detour(self, call: _servicecalls.ServiceCall) -> bool:
        if call.answer is not None:
            return False
        if call.attempts and not self._route.is_idempotent:
            return False
        return _servicewaits.is_cut_off(
            self._context, self._route, call.service
        )

    def _start_detours(self) -> None:
        """Asks the shards of calls that lost their servers through others."""
        calls, self._cut_off_calls = self._cut_off_calls, []
        if self._is_ended:
            return
        unsent = tuple(call.service for call in calls if not call.attempts)
        asked = {
            call.service: call.first_server for call in calls if call.attempts
        }
        started = [
            self._create_group_call(group, is_detour=True)
            for group in _create_detour_groups(unsent)
        ]
        started.extend(
            self._create_group_call(group, is_detour=True, asked=asked)
            for group in _create_detour_groups(tuple(asked))
        )
        for group_call in started:
            group_call.start()
        self._group_calls.extend(started)

    def _abandon_unsettled(self) -> None:
        self._is_ended = True
        for call in self._calls:
            if not call.is_settled:
                call.abandon()
        for group_call in self._group_calls:
            group_call.abandon()

    def _abandon_all(self) -> None:
        self._is_ended = True
        for call in self._calls:
            call.abandon()
        for group_call in self._group_calls:
            group_call.abandon()


def _retain_shards(
    groups: tuple[_groupplans.ShardGroup, ...], shards: Collection[str]
) -> tuple[_groupplans.ShardGroup, ...]:
    retained = (
        attrs.evolve(g, shards=tuple(s for s in g.shards if s in shards))
        for g in groups
    )
    return tuple(group for group in retained if group.shards)


def _create_detour_groups(
    shards: tuple[str, ...],
) -> tuple[_groupplans.ShardGroup, ...]:
    return tuple(
        _groupplans.ShardGroup(
            shards=shards[start : start + _MAX_DETOUR_SHARDS], hosts=()
        )
        for start in range(0, len(shards), _MAX_DETOUR_SHARDS)
    )


def _compute_margin_ms(route: _resources.Route, is_grouped: bool) -> float:
    """Returns how long before the target the last parts must be in."""
    margin_ms = max(
        _MIN_RESPONSE_MARGIN_MS,
        route.target_ms * _RESPONSE_MARGIN_TARGET_SHARE,
    )
    return margin_ms + (_GROUP_MARGIN_MS if is_grouped else 0.0)
