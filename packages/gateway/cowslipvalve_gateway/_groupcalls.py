"""Obtains the parts of one group of shards, from another host if possible."""

import asyncio
import contextlib
import logging
from collections.abc import Collection
from typing import Protocol

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _groupgathers
from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _groupplans
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servicecalls

# Two intervals without a report; the interval allows for a busy host.
_SILENCE_MS = 2 * _groupgathers.PROGRESS_INTERVAL_MS

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

    Attributes:
      was_sent: Whether another host may have sent the request to servers.
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
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._group = group
        self._target_at_ms = target_at_ms
        self._deadline_ms = deadline_ms
        self._listener = listener
        self._remaining = dict.fromkeys(group.shards)
        # The server that another host asked first, by shard.
        self._asked: dict[str, str] = {}
        self._direct_calls: list[_servicecalls.ServiceCall] = []
        self._task: asyncio.Task[None] | None = None
        self.was_sent = False

    @property
    def attempts(self) -> int:
        """The number of attempts that this host sent to servers."""
        return sum(call.attempts for call in self._direct_calls)

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

    async def _run(self) -> None:
        hosts = self._group.hosts
        health = self._context.host_health
        trusted = [h for h in hosts if not health.is_suspect(h.name)]
        for host in trusted:
            if host.name == self._context.own_name:
                break
            try:
                await self._ask(host)
            except (
                _errors.UnsentError,
                _errors.HostUnavailableError,
            ) as error:
                if not isinstance(error, _errors.UnsentError):
                    self.was_sent = True
                health.record_failure(host.name)
                self._log_failure(host, error)
                continue
            health.record_success(host.name)
            break
        self._ask_directly(tuple(self._remaining), self.was_sent)

    def _list_asked(self) -> tuple[str, ...]:
        """Returns the first server of each open shard, for a repeat."""
        if not self.was_sent:
            return ()
        return tuple(self._asked.get(shard, "") for shard in self._remaining)

    async def _ask(self, host: _resources.HostRecord) -> None:
        route = attrs.evolve(self._route, shards=tuple(self._remaining))
        message = _groupmessages.create_group_request(
            self._request,
            route,
            self._context.catalog.get_table_version(),
            self._context.clock.now_ms(),
            self._target_at_ms,
            self._deadline_ms,
            self._list_asked(),
        )
        # Whether another host than this one may have sent it.
        is_repeat = self.was_sent
        reports = self._context.groups.ask(
            host.state_address, message, _SILENCE_MS
        )
        # Reads on to the end, so that the connection can be used again.
        async with contextlib.aclosing(reports):
            async for report in reports:
                self.was_sent = True
                if report.asked:
                    self._asked.update(
                        zip(message.route.shards, report.asked, strict=False)
                    )
                self._take_report(host, report, is_repeat)

    def _take_report(
        self,
        host: _resources.HostRecord,
        report: _groupmessages.GroupReport,
        is_repeat: bool,
    ) -> None:
        self._record_leaving(report)
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
        if report.answered:
            self._listener.add_parts(
                Parts(
                    shards=report.answered,
                    proofs=report.proofs,
                    records=records,
                )
            )
        if report.failed:
            self._listener.add_failed(report.failed)
            for shard, wait_ms in zip(
                report.failed, report.waits_ms, strict=False
            ):
                self._context.shard_waits.record(shard, wait_ms)
        # This host may know servers that the other one does not know yet.
        self._ask_directly(report.unknown, is_repeat)

    def _record_leaving(self, report: _groupmessages.GroupReport) -> None:
        """Leaves alone what the other host's answers say is leaving."""
        for leaving in report.leaving:
            view = self._context.catalog.find_server(leaving.server)
            if view and view.server.started_ms == leaving.started_ms:
                view.withdrawal.record_leaving()

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

    def _log_failure(
        self, host: _resources.HostRecord, error: base.CowslipvalveError
    ) -> None:
        self._context.measurements.count("failed_group_requests")
        base.log_event(
            _logger,
            "group-failed",
            request=self._request.request_id,
            host=host.name,
            lacking=len(self._remaining),
            sent=self.was_sent,
            error=error,
        )
