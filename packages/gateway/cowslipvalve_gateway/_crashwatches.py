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
from collections.abc import Iterable
from typing import Any

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _canarypermits
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _crashdeliveries
from cowslipvalve_gateway import _crashrecords
from cowslipvalve_gateway import _crashreports
from cowslipvalve_gateway import _fingerprints
from cowslipvalve_gateway import _measurements
from cowslipvalve_gateway import _pendingchecks
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _serverchecks
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _suspects
from cowslipvalve_gateway import _watcherchoices

# The checks of one report: several shards end under one request.
_REPORT_DELAY_MS = 50.0
# The reports of other hosts of the same ends arrive within this time.
_VERDICT_DELAY_MS = 200.0
# All reports of a wave of ends have arrived or failed by then, also those of
# hosts that are busy.
_WAVE_SETTLED_MS = 1_000.0
_MAX_REPORTED = 1_024
# A crowd of requests runs on the servers that end under one of them.
_MAX_LOGGED = 3

_logger = logging.getLogger(__name__)


class CrashWatch:
    """Collects evidence at this host and shares it with others.

    Attributes:
      quarantine: The requests that this host refuses.
      permits: Permits to send suspects to one shard.
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
        self.permits = _canarypermits.create_canary_permits(
            own, catalog, clock, quarantine, client
        )
        self._own = own
        self._catalog = catalog
        self._clock = clock
        self._delivery = _crashdeliveries.create_crash_delivery(
            own, catalog, clock, quarantine, client
        )
        self._measurements = measurements
        self._links = links
        self._record = _crashrecords.create_crash_record(clock)
        # The latest requests whose connections broke.
        self._lost: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # The suspects that this host has reported.
        self._reported: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._checks = _pendingchecks.create_pending_checks(clock)
        # The checks that found an end, for the next report.
        self._ends: list[_pendingchecks.Check] = []
        # The requests that the checks in progress accuse, for the next report.
        self._suspected: collections.deque[_suspects.SuspectEntry] = (
            collections.deque(maxlen=_suspects.MAX_ENTRIES)
        )
        self._exonerations: set[_crashrecords.Exoneration] = set()
        # The suspects of reports since the last verdict.
        self._accused: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_report_due = False
        self._is_verdict_due = False
        self._is_wave_verdict_due = False

    def blocks(self, request: _calls.CallerRequest, service: str) -> bool:
        """Whether a request must not be sent to the servers of a service."""
        if not self.quarantine:
            return False
        fingerprint = _fingerprints.compute_fingerprint(request)
        return self.quarantine.blocks(fingerprint, service)

    def return_permit(self, request: _calls.CallerRequest) -> None:
        """Returns the permit of a suspect that was not sent."""
        fingerprint = _fingerprints.compute_fingerprint(request)
        age_ms = self._clock.now_ms() - request.received_ms
        self._start(self.permits.give_back(fingerprint, age_ms))

    def is_suspect(self, request: _calls.CallerRequest) -> bool:
        """Whether servers have ended under a request that is not refused."""
        if not self.quarantine.suspects:
            return False
        fingerprint = _fingerprints.compute_fingerprint(request)
        return (
            fingerprint in self.quarantine.suspects
            and fingerprint not in self.quarantine
            and fingerprint not in self.quarantine.answered
        )

    def compute_remaining_ms(self, request: _calls.CallerRequest) -> float:
        """Returns for how many ms a request is refused, 0 if it is not."""
        fingerprint = _fingerprints.compute_fingerprint(request)
        return self.quarantine.compute_remaining_ms(fingerprint)

    def record_loss(
        self,
        view: _servers.ServerView,
        request: _calls.CallerRequest,
        is_resent: bool = False,
    ) -> None:
        """Records that a connection broke while a server ran a request.

        Args:
          view: The server.
          request: The request.
          is_resent: Whether it was sent there because the connection to another
            server had broken.
        """
        fingerprint = _fingerprints.compute_fingerprint(request)
        self._lost[fingerprint] = None
        while len(self._lost) > _MAX_REPORTED:
            self._lost.popitem(last=False)
        self._accuse(view, fingerprint, is_resent)

    def record_cancelled(
        self,
        view: _servers.ServerView,
        request: _calls.CallerRequest,
        is_resent: bool = False,
    ) -> None:
        """Records that a request was given up while a server ran it.

        If connections of the request broke, the server may have ended too. The
        arguments are those of record_loss.
        """
        if not self._lost:
            return
        fingerprint = _fingerprints.compute_fingerprint(request)
        if fingerprint in self._lost:
            self._accuse(view, fingerprint, is_resent)

    def _accuse(
        self, view: _servers.ServerView, fingerprint: str, is_resent: bool
    ) -> None:
        """Checks whether a server has ended under a request."""
        is_ready = view.server.state is _resources.ServerState.READY
        if not is_ready or view.withdrawal.is_leaving:
            return  # It was to end.
        if fingerprint in self.quarantine.answered:
            return
        check = self._checks.find(view)
        if check is None:
            check = self._checks.open(view)
            if check is None:
                return
            self._start(self._check(check))
        is_canary = self.permits.is_canary(fingerprint)
        if self._checks.accuse(check, fingerprint, is_resent, is_canary):
            self._suspect(fingerprint)

    def _suspect(self, fingerprint: str) -> None:
        """Makes a request a suspect for as long as its servers are checked."""
        entry = _suspects.SuspectEntry(
            fingerprint=fingerprint, remaining_ms=_serverchecks.MAX_DOUBT_MS
        )
        self.quarantine.suspects.add_all([entry])
        self._suspected.append(entry)
        self._schedule_report()

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
        answered = self.quarantine.answered
        is_cleared = fingerprint in answered
        if fingerprint in self.quarantine.suspects and not is_cleared:
            self._start(self.permits.clear(fingerprint))
        answered.add(fingerprint)

    def receive(
        self, report: _crashreports.CrashReport
    ) -> tuple[_quarantines.QuarantineEntry, ...]:
        """Takes a report of a host; returns the quarantined requests."""
        for end in report.ends:
            self._record.add_end(end)
            self._accused.update(end.suspects)
        self.quarantine.suspects.add_all(report.suspects)
        for fingerprint in report.cleared:
            self.quarantine.answered.add(fingerprint)
        for fingerprint in report.unsent:
            self.permits.revoke(fingerprint)
        for exoneration in report.exonerations:
            self._record.exonerate(exoneration)
        if self._accused and not self._is_verdict_due:
            self._is_verdict_due = True
            self._start(self._reach_verdict())
        return self.quarantine.list_entries()

    async def _check(self, check: _pendingchecks.Check) -> None:
        """Finds out whether a server has ended or only lost a connection."""
        try:
            verdict = await _serverchecks.check_server(
                check.view, check.lost_ms, self._links, self._clock
            )
        finally:
            self._checks.close(check)
        answered = self.quarantine.answered
        suspects = {name for name in check.suspects if name not in answered}
        base.log_event(
            _logger,
            "connection-broken",
            server=check.server,
            verdict=verdict.value,
            took_ms=round(self._clock.now_ms() - check.lost_ms),
            suspects=",".join(sorted(suspects)),
        )
        if verdict is not _serverchecks.Verdict.ENDED or not suspects:
            return
        self._measurements.count("servers_ended")
        check.suspects = suspects
        self._ends.append(check)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            self._start(self._report())

    async def _report(self) -> None:
        await self._clock.sleep_ms(_REPORT_DELAY_MS)
        self._is_report_due = False
        report = self._take_report()
        self.receive(report)
        await self._delivery.send(report)

    def _take_report(self) -> _crashreports.CrashReport:
        now_ms = self._clock.now_ms()
        ends = tuple(check.create_end(now_ms) for check in self._ends)
        for end in ends:
            self._reported.update(dict.fromkeys(end.suspects))
        while len(self._reported) > _MAX_REPORTED:
            self._reported.popitem(last=False)
        report = _crashreports.CrashReport(
            host=self._own.name,
            ends=ends,
            exonerations=tuple(self._exonerations),
            suspects=tuple(self._suspected),
        )
        if report.suspects:
            names = [entry.fingerprint for entry in report.suspects]
            base.log_event(_logger, "suspected", fingerprints=",".join(names))
        self._ends = []
        self._suspected.clear()
        self._exonerations = set()
        return report

    async def _reach_verdict(self) -> None:
        await self._clock.sleep_ms(_VERDICT_DELAY_MS)
        self._is_verdict_due = False
        evidence = self._record.list_evidence(self._accused)
        for each in evidence[:_MAX_LOGGED]:
            base.log_event(_logger, "crash-evidence", **attrs.asdict(each))
        convicted = [
            entry
            for entry in self._record.find_convicted()
            if entry.fingerprint in self._accused
        ]
        found = _crashrecords.create_suspect_entries(evidence)
        self.quarantine.suspects.add_all(found)
        self._accused = set()
        self._quarantine(convicted)
        if not self._is_wave_verdict_due and self._is_first_watcher():
            self._is_wave_verdict_due = True
            self._start(self._reach_wave_verdict())

    async def _reach_wave_verdict(self) -> None:
        """Waits until a wave of ends is over, and judges it."""
        while (age_ms := self._record.wave_age_ms) < _WAVE_SETTLED_MS:
            await self._clock.sleep_ms(_WAVE_SETTLED_MS - age_ms)
        self._is_wave_verdict_due = False
        wave = self._record.find_wave()
        if wave is None or not wave.repeated:
            return
        base.log_event(_logger, "ends-together", **attrs.asdict(wave))
        if wave.is_explained:
            self._quarantine([wave.create_entry()])

    def _is_first_watcher(self) -> bool:
        """Whether this host gets the reports of all others."""
        watchers = _watcherchoices.choose_first_watchers(
            self._catalog.present_hosts
        )
        return self._own.state_address in watchers

    def _quarantine(
        self, entries: Iterable[_quarantines.QuarantineEntry]
    ) -> None:
        for fingerprint in self.quarantine.add_all(entries):
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
