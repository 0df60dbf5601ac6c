"""Takes reports of servers that ended to the hosts that judge them."""

import asyncio
import logging

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _crashreports
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _watcherchoices

_REPORT_TIMEOUT_MS = 400.0
# A host that has just started has learned of the others by then.
_MAX_UNKNOWN_MS = 3_000.0
_UNKNOWN_CHECK_MS = 50.0
# A lost host counts as absent only after seconds. More would cost each report
# to a domain that is cut off several time-outs.
_MAX_TRIED = 2

_logger = logging.getLogger(__name__)


class CrashDelivery:
    """Sends the reports of a host to one host of each domain."""

    def __init__(
        self,
        own: _resources.HostRecord,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        quarantine: _quarantines.Quarantine,
        client: _crashreports.CrashReportClient,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._clock = clock
        self._quarantine = quarantine
        self._client = client

    async def send(self, report: _crashreports.CrashReport) -> None:
        """Sends a report to the watchers, once any other host is known."""
        taken_ms = self._clock.now_ms()
        while self._knows_no_other():
            waited_ms = self._clock.now_ms() - taken_ms
            if waited_ms >= _MAX_UNKNOWN_MS:
                return  # There is no other host.
            await self._clock.sleep_ms(_UNKNOWN_CHECK_MS)
        report = _age(report, self._clock.now_ms() - taken_ms)
        hosts = self._catalog.present_hosts
        domains = {host.domain for host in hosts.values()}
        await asyncio.gather(
            *(
                self._deliver(_watcherchoices.rank_hosts(hosts, domain), report)
                for domain in sorted(domains)
            )
        )

    def _knows_no_other(self) -> bool:
        return not self._catalog.hosts.keys() - {self._own.name}

    async def _deliver(
        self,
        ranked: list[_resources.HostRecord],
        report: _crashreports.CrashReport,
    ) -> None:
        """Sends a report to the first host of a domain that takes it.

        The next one replaces the first if that is lost, and knows then what it
        was told before.
        """
        for host in ranked[:_MAX_TRIED]:
            if host.name == self._own.name:
                return  # It has its own reports.
            if await self._post(host.state_address, report):
                return

    async def _post(
        self, address: str, report: _crashreports.CrashReport
    ) -> bool:
        """Sends a report to a host; returns whether it was taken."""
        try:
            found = await self._client.report(
                address, report, _REPORT_TIMEOUT_MS
            )
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "crash-report-failed", logging.WARNING, error=error
            )
            return False
        self._quarantine.add_all(found.entries)
        self._quarantine.suspects.add_all(found.suspects)
        return True


def _age(
    report: _crashreports.CrashReport, waited_ms: float
) -> _crashreports.CrashReport:
    """Returns a report with the times as they are after a wait."""
    return attrs.evolve(
        report,
        ends=tuple(
            attrs.evolve(end, age_ms=end.age_ms + waited_ms)
            for end in report.ends
        ),
        suspects=tuple(
            attrs.evolve(
                entry, remaining_ms=max(0.0, entry.remaining_ms - waited_ms)
            )
            for entry in report.suspects
        ),
    )


def create_crash_delivery(
    own: _resources.HostRecord,
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    quarantine: _quarantines.Quarantine,
    client: _crashreports.CrashReportClient,
) -> CrashDelivery:
    """Creates the delivery of a host's reports.

    Args:
      own: The record of this host.
      catalog: The hosts of the deployment.
      clock: The clock of the process.
      quarantine: Gets what the watchers know of refused requests.
      client: Reports to other hosts.
    """
    return CrashDelivery(own, catalog, clock, quarantine, client)
