"""Notices servers that end while they run requests, and reports them.

Every host keeps its own evidence; the first watcher of each failure domain also
gets that of all other hosts. So one of them sees all servers that end under a
request that is sent to many hosts, and a domain that is cut off has one of its
own. What they quarantine reaches the other hosts with the state.
"""

import asyncio
import collections
import logging
from collections.abc import Coroutine
from typing import Any

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _crashrecords
from cowslipvalve_gateway import _crashreports
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _fingerprints
from cowslipvalve_gateway import _measurements
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _watcherchoices

# A process that ends may close its listening socket after its connections.
_CHECK_DELAY_MS = 30.0
_CHECK_TIMEOUT_MS = 200.0
# The checks of one report: several shards end under one request.
_REPORT_DELAY_MS = 50.0
# The reports of other hosts of the same ends arrive within this time.
_VERDICT_DELAY_MS = 200.0
_REPORT_TIMEOUT_MS = 400.0
_MAX_REPORTED = 1_024
_MAX_CHECKS = 64  # Each opens a connection.
_MAX_SUSPECTS_PER_END = 64
# If no server is reached in this time, it is not known which have ended.
_MAX_DOUBT_MS = 2_000.0
_DOUBT_CHECK_MS = 20.0

_logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class _Check:
    """A server whose connections broke, and what ran on them."""

    view: _servers.ServerView
    lost_ms: float
    suspects: set[str] = attrs.field(factory=set)


class CrashWatch:
    """Collects evidence at this host and shares it with others.

    Attributes:
      quarantine: The requests that this host refuses.
    """

    def __init__(
        self,
        own: _resources.HostRecord,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        quarantine: _quarantines.Quarantine,
        client: _crashreports.CrashReportClient,
        measurements: _measurements.Measurements,
        links: _serverlinks.ServerLinks,
    ) -> None:
        self.quarantine = quarantine
        self._own = own
        self._catalog = catalog
        self._clock = clock
        self._client = client
        self._measurements = measurements
        self._links = links
        self._record = _crashrecords.create_crash_record(clock)
        # The suspects that this host has reported.
        self._reported: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # The checks in progress by server.
        self._checks: dict[str, _Check] = {}
        # The checks that found an end, for the next report.
        self._ends: list[_Check] = []
        self._exonerations: set[_crashrecords.Exoneration] = set()
        # The suspects of reports since the last verdict.
        self._accused: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_report_due = False
        self._is_verdict_due = False

    def blocks(self, request: _calls.CallerRequest, service: str) -> bool:
        """Whether a request must not be sent to the servers of a service."""
        if not self.quarantine:
            return False
        fingerprint = _fingerprints.compute_fingerprint(request)
        return self.quarantine.blocks(fingerprint, service)

    def compute_remaining_ms(self, request: _calls.CallerRequest) -> float:
        """Returns for how many ms a request is refused, 0 if it is not."""
        fingerprint = _fingerprints.compute_fingerprint(request)
        return self.quarantine.compute_remaining_ms(fingerprint)

    def record_loss(
        self, view: _servers.ServerView, request: _calls.CallerRequest
    ) -> None:
        """Records that a connection broke while a server ran a request."""
        is_ready = view.server.state is _resources.ServerState.READY
        if not is_ready or view.withdrawal.is_leaving:
            return  # It was to end.
        fingerprint = _fingerprints.compute_fingerprint(request)
        if fingerprint in self.quarantine.answered:
            return
        name = view.server.instance_id
        check = self._checks.get(name)
        if check is None:
            if len(self._checks) >= _MAX_CHECKS:
                base.log_event(
                    _logger, "server-not-checked", logging.WARNING, server=name
                )
                return
            check = _Check(view=view, lost_ms=self._clock.now_ms())
            self._checks[name] = check
            self._start(self._check(check))
        if len(check.suspects) < _MAX_SUSPECTS_PER_END:
            check.suspects.add(fingerprint)

    def record_part(self, request: _calls.CallerRequest, service: str) -> None:
        """Records that a server of a service has answered a request."""
        if not self._reported:
            return
        fingerprint = _fingerprints.compute_fingerprint(request)
        if fingerprint not in self._reported:
            return
        self._exonerations.add(
            _crashrecords.Exoneration(fingerprint=fingerprint, service=service)
        )
        self._schedule_report()

    def record_answer(self, request: _calls.CallerRequest) -> None:
        """Records that all services of a request have answered it."""
        fingerprint = _fingerprints.compute_fingerprint(request)
        self.quarantine.answered.add(fingerprint)

    def receive(
        self, report: _crashreports.CrashReport
    ) -> tuple[_quarantines.QuarantineEntry, ...]:
        """Takes a report of a host; returns the quarantined requests."""
        for end in report.ends:
            self._record.add_end(end)
            self._accused.update(end.suspects)
        for exoneration in report.exonerations:
            self._record.exonerate(exoneration)
        if self._accused and not self._is_verdict_due:
            self._is_verdict_due = True
            self._start(self._reach_verdict())
        return self.quarantine.list_entries()

    async def _check(self, check: _Check) -> None:
        """Finds out whether a server has ended or only lost a connection."""
        try:
            await self._clock.sleep_ms(_CHECK_DELAY_MS)
            is_ended = await self._is_ended(check)
        finally:
            del self._checks[check.view.server.instance_id]
        answered = self.quarantine.answered
        suspects = {name for name in check.suspects if name not in answered}
        base.log_event(
            _logger,
            "connection-broken",
            server=check.view.server.instance_id,
            ended=is_ended,
            suspects=",".join(sorted(suspects)),
        )
        if not is_ended or not suspects:
            return
        self._measurements.count("servers_ended")
        check.suspects = suspects
        self._ends.append(check)
        self._schedule_report()

    async def _is_ended(self, check: _Check) -> bool:
        """Whether a server refuses connections while another one is reached.

        To a host that has lost its links all servers seem to have ended.
        """
        view = check.view
        is_proven = self._links.proven_ms > check.lost_ms
        if not await view.pool.is_refused(_CHECK_TIMEOUT_MS):
            return False
        if is_proven or not self._links.has_others(view.link):
            return True
        refused_ms = self._clock.now_ms()
        while self._links.proven_ms <= check.lost_ms:
            if not view.pool.max_connections:
                # It was removed meanwhile, which a cut does not do.
                return view.server.state is _resources.ServerState.READY
            if self._clock.now_ms() - refused_ms > _MAX_DOUBT_MS:
                return False
            await self._clock.sleep_ms(_DOUBT_CHECK_MS)
        # The links may have been away until now.
        return await view.pool.is_refused(_CHECK_TIMEOUT_MS)

    def _schedule_report(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            self._start(self._report())

    async def _report(self) -> None:
        await self._clock.sleep_ms(_REPORT_DELAY_MS)
        self._is_report_due = False
        report = self._take_report()
        self.receive(report)
        addresses = _watcherchoices.choose_first_watchers(self._catalog.hosts)
        addresses.discard(self._own.state_address)
        await asyncio.gather(
            *(self._send(address, report) for address in sorted(addresses))
        )

    def _take_report(self) -> _crashreports.CrashReport:
        now_ms = self._clock.now_ms()
        ends = tuple(
            _crashrecords.ServerEnd(
                server=check.view.server.instance_id,
                service=check.view.server.service,
                age_ms=now_ms - check.lost_ms,
                suspects=tuple(sorted(check.suspects)),
            )
            for check in self._ends
        )
        for end in ends:
            self._reported.update(dict.fromkeys(end.suspects))
        while len(self._reported) > _MAX_REPORTED:
            self._reported.popitem(last=False)
        report = _crashreports.CrashReport(
            host=self._own.name,
            ends=ends,
            exonerations=tuple(self._exonerations),
        )
        self._ends = []
        self._exonerations = set()
        return report

    async def _send(
        self, address: str, report: _crashreports.CrashReport
    ) -> None:
        try:
            found = await self._client.report(
                address, report, _REPORT_TIMEOUT_MS
            )
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "crash-report-failed", logging.WARNING, error=error
            )
            return
        self.quarantine.add_all(found.entries)

    async def _reach_verdict(self) -> None:
        await self._clock.sleep_ms(_VERDICT_DELAY_MS)
        self._is_verdict_due = False
        convicted = [
            entry
            for entry in self._record.find_convicted()
            if entry.fingerprint in self._accused
        ]
        self._accused = set()
        for fingerprint in self.quarantine.add_all(convicted):
            self._measurements.count("quarantined")
            base.log_event(
                _logger,
                "quarantined",
                logging.WARNING,
                fingerprint=fingerprint,
                suspects=len(self._record),
            )

    def _start(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def create_crash_watch(
    own: _resources.HostRecord,
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    quarantine: _quarantines.Quarantine,
    client: _crashreports.CrashReportClient,
    measurements: _measurements.Measurements,
    links: _serverlinks.ServerLinks,
) -> CrashWatch:
    """Creates the watch of a host.

    Args:
      own: The record of this host.
      catalog: The hosts of the deployment.
      clock: The clock of the process.
      quarantine: The requests that this host refuses.
      client: Reports to other hosts.
      measurements: Counts servers that end and quarantined requests.
      links: Tells whether servers have ended or this host has lost its links.
    """
    return CrashWatch(
        own, catalog, clock, quarantine, client, measurements, links
    )
