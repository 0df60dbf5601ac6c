"""Obtains the parts of one group of shards, from another host if possible."""

import asyncio
import contextlib
import logging
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Protocol

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _departures
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _groupplans
from cowslipvalve_gateway import _hostrefusals
from cowslipvalve_gateway import _hoststreams
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_gateway import _servicewaits

# How many helpers may answer that they do not reach a shard either.
_MAX_FURTHER_HELPERS = 2

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Parts:
    """Parts of some shards, merged."""

    # The shards.
    shards: tuple[str, ...]
    # The proof of each part.
    proofs: tuple[str, ...]
    # The greatest records of the parts.
    records: bytes


class PartsListener(Protocol):
    """Receives the results of calls."""

    def add_parts(self, parts: Parts) -> None:
        """Takes parts that arrived."""

    def add_failed(self, shards: Collection[str]) -> None:
        """Takes the names of shards that will have no part."""


def report_settled(
    call: _servicecalls.ServiceCall, listener: PartsListener
) -> None:
    """Passes the part of a settled call, or its failure, to a listener."""
    if call.answer is None or not call.answer.is_success:
        listener.add_failed((call.service,))
        return
    listener.add_parts(
        Parts(
            shards=(call.service,),
            proofs=(call.answer.proof,),
            records=call.answer.body,
        )
    )


class GroupCall:
    """Asks the hosts of a group one after the other, then asks directly.

    Shards whose servers this host does not reach are not asked directly, but by
    helpers: hosts that reach them.
    """

    def __init__(
        self,
        context: _callcontexts.CallContext,
        request: _calls.CallerRequest,
        route: _resources.Route,
        group: _groupplans.ShardGroup,
        target_at_ms: float,
        deadline_ms: float,
        listener: PartsListener,
        is_detour: bool = False,
        excluded: frozenset[str] = frozenset(),
        asked: Mapping[str, str] | None = None,
    ) -> None:
        """Creates a call that is not started.

        Args:
          context: The state that all calls share.
          request: The caller's request.
          route: The request's route.
          group: The shards, and the hosts to ask.
          target_at_ms: When the parts should be here, on the process's clock.
          deadline_ms: When to give up, on the process's clock.
          listener: Receives the results.
          is_detour: Whether this host does not reach servers of the group.
            Helpers are then asked after the group's other hosts.
          excluded: The names of hosts that are not asked as helpers.
          asked: The server that this host asked first, by shard, if it may
            have the request.
        """
        self._context = context
        self._request = request
        self._route = route
        self._group = group
        self._target_at_ms = target_at_ms
        self._deadline_ms = deadline_ms
        self._listener = listener
        self._remaining = dict.fromkeys(group.shards)
        # The server that another host asked first, by shard.
        self._asked = dict(asked or {})
        self._direct_calls: list[_servicecalls.ServiceCall] = []
        self._further_calls: list[GroupCall] = []
        self._task: asyncio.Task[None] | None = None
        self._is_detour = is_detour
        # How many shards the last host did not reach.
        self._lacking = 0
        self._excluded = excluded
        self._was_sent = bool(asked)

    @property
    def was_sent(self) -> bool:
        """Whether another host may have sent the request to servers."""
        return self._was_sent or any(f.was_sent for f in self._further_calls)

    @property
    def attempts(self) -> int:
        """The number of attempts that this host sent to servers."""
        direct = sum(call.attempts for call in self._direct_calls)
        return direct + sum(call.attempts for call in self._further_calls)

    def start(self) -> None:
        """Starts to ask."""
        self._task = asyncio.create_task(self._run())

    def abandon(self) -> None:
        """Ends the work that is not settled, here and at the other host."""
        if self._task is not None and self._remaining:
            self._task.cancel()
        for call in self._direct_calls:
            if not call.is_settled:
                call.abandon()
        for further in self._further_calls:
            further.abandon()

    async def _run(self) -> None:
        for host in self._find_hosts():
            if host.name == self._context.own_name:
                break
            if await self._try_to_ask(host):
                break
        cut_off = self._ask_directly_if_reached(
            tuple(self._remaining), self._was_sent
        )
        self._ask_further(cut_off, not self._is_detour and not self._was_sent)

    def _find_hosts(self) -> Iterator[_resources.HostRecord]:
        """Yields the hosts to ask, in order."""
        context = self._context
        hosts = {
            host.name: host
            for host in self._group.hosts
            if not context.host_health.is_suspect(host.name)
            and not context.detours.is_refusing(host.name)
        }
        if not self._is_detour:
            yield from hosts.values()
            return
        hosts.pop(context.own_name, None)
        yield from hosts.values()
        for helper in context.detours.find_helpers(self._route, self._excluded):
            if helper.name not in hosts:
                yield helper

    async def _try_to_ask(self, host: _resources.HostRecord) -> bool:
        """Asks a host; returns whether it did what it was asked for."""
        if self._is_detour:
            self._log("detour", host)
        try:
            await self._ask(host)
        except _hostrefusals.HostRefusedError as error:
            self._context.detours.record_refusal(host.name, error.reason)
            self._log("host-refused", host, error=error)
            return False
        except (_errors.UnsentError, _errors.HostUnavailableError) as error:
            if not isinstance(error, _errors.UnsentError):
                self._was_sent = True
            self._context.host_health.record_failure(host.name)
            self._context.measurements.count("failed_group_requests")
            self._log("group-failed", host, sent=self._was_sent, error=error)
            return False
        self._context.host_health.record_success(host.name)
        if self._is_detour:
            self._context.detours.record_lacking(host.name, self._lacking)
        return True

    def _list_asked(self) -> tuple[str, ...]:
        """Returns the first server of each open shard, for a repeat."""
        if not self._was_sent:
            return ()
        return tuple(self._asked.get(shard, "") for shard in self._remaining)

    async def _ask(self, host: _resources.HostRecord) -> None:
        self._lacking = 0
        route = attrs.evolve(self._route, shards=tuple(self._remaining))
        message = _groupmessages.create_group_request(
            self._request,
            route,
            self._context.catalog.get_table_version(),
            self._context.clock.now_ms(),
            self._target_at_ms,
            self._deadline_ms,
            self._list_asked(),
            self._is_detour,
        )
        # Whether another host than this one may have sent it.
        is_repeat = self._was_sent
        reports = self._context.groups.ask(
            host.state_address,
            message,
            _hoststreams.SILENCE_MS
            + self._context.detours.find_round_trip_ms(host),
        )
        # Reads on to the end, so that the connection can be used again.
        async with contextlib.aclosing(reports):
            async for report in reports:
                self._was_sent = True
                self._record_asked(message.route.shards, report.asked)
                self._take_report(host, report, is_repeat)

    def _record_asked(
        self, shards: tuple[str, ...], servers: tuple[str, ...]
    ) -> None:
        """Records which servers a host asked; it may have asked none yet."""
        for shard, server in zip(shards, servers, strict=False):
            if server:
                self._asked[shard] = server

    def _take_report(
        self,
        host: _resources.HostRecord,
        report: _groupmessages.GroupReport,
        is_repeat: bool,
    ) -> None:
        _departures.record_leaving(self._context.catalog, report.leaving)
        if not report.answered and not report.failed and not report.unknown:
            return
        try:
            records = report.read_records()
        except base.InputError as error:
            raise _errors.HostUnavailableError(
                str(error), step="ask-group", peer=host.name
            ) from error
        shards = (*report.answered, *report.failed, *report.unknown)
        if len(set(shards)) < len(shards) or any(
            shard not in self._remaining for shard in shards
        ):
            raise _errors.HostUnavailableError(
                "a report names a shard twice or one that was not asked for",
                step="ask-group",
                peer=host.name,
            )
        for shard in shards:
            del self._remaining[shard]
        if self._is_detour:
            for shard in report.answered:
                self._context.links.record_detour(shard, True)
        if report.answered:
            self._listener.add_parts(
                Parts(
                    shards=report.answered,
                    proofs=report.proofs,
                    records=records,
                )
            )
        unreached = report.unreached if self._is_detour else ()
        failed = tuple(s for s in report.failed if s not in unreached)
        if failed:
            self._listener.add_failed(failed)
        for shard, wait_ms in zip(report.failed, report.waits_ms, strict=False):
            self._context.shard_waits.record(shard, wait_ms)
        # This host may know or reach servers that the other one does not.
        lacking = (*report.unknown, *unreached)
        self._lacking += len(lacking)
        cut_off = self._ask_directly_if_reached(lacking, is_repeat)
        self._excluded |= {host.name}
        may_ask = len(self._excluded) <= _MAX_FURTHER_HELPERS
        self._ask_further(cut_off, may_ask, is_repeat)
        if not may_ask:
            for shard in cut_off:
                self._context.links.record_detour(shard, False)

    def _ask_directly_if_reached(
        self, shards: tuple[str, ...], is_repeat: bool
    ) -> tuple[str, ...]:
        """Asks shards from this host; returns those that it does not reach."""
        cut_off = [
            shard
            for shard in shards
            if _servicewaits.is_cut_off(self._context, self._route, shard)
        ]
        self._ask_directly(
            tuple(shard for shard in shards if shard not in cut_off), is_repeat
        )
        return tuple(cut_off)

    def _ask_further(
        self, shards: tuple[str, ...], may_ask: bool, is_repeat: bool = False
    ) -> None:
        """Asks shards from further helpers; else they have failed."""
        if not shards:
            return
        for shard in shards:
            self._remaining.pop(shard, None)
        if not may_ask:
            self._listener.add_failed(shards)
            return
        further = GroupCall(
            self._context,
            self._request,
            self._route,
            _groupplans.ShardGroup(shards=shards, hosts=()),
            self._target_at_ms,
            self._deadline_ms,
            self._listener,
            is_detour=True,
            excluded=self._excluded,
            asked={s: self._asked.get(s, "") for s in shards}
            if is_repeat
            else None,
        )
        self._further_calls.append(further)
        further.start()

    def _ask_directly(self, shards: tuple[str, ...], is_repeat: bool) -> None:
        """Asks shards from this host."""
        calls = [
            _servicecalls.ServiceCall(
                self._context,
                self._request,
                self._route,
                shard,
                self._deadline_ms,
                self._record_settled,
                repeat=self._create_repeat(shard) if is_repeat else None,
            )
            for shard in shards
        ]
        self._direct_calls.extend(calls)
        for call in calls:
            self._remaining.pop(call.service, None)
            call.start()

    def _create_repeat(self, shard: str) -> _attempts.Repeat:
        return _attempts.Repeat(server=self._asked.get(shard, ""))

    def _record_settled(self, call: _servicecalls.ServiceCall) -> None:
        report_settled(call, self._listener)

    def _log(
        self, event: str, host: _resources.HostRecord, **fields: object
    ) -> None:
        base.log_event(
            _logger,
            event,
            request=self._request.request_id,
            host=host.name,
            lacking=len(self._remaining),
            **fields,
        )
