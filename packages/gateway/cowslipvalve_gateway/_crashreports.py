"""Messages by which hosts tell each other of servers that ended."""

import aiohttp
import attrs

from cowslipvalve_gateway import _crashrecords
from cowslipvalve_gateway import _hostposts
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _suspects

REPORT_PATH = "/server-ends"


@attrs.frozen(kw_only=True)
class CrashReport:
    """What a host has seen of suspects since its last report."""

    # The name of the host that reports.
    host: str
    # The servers that ended.
    ends: tuple[_crashrecords.ServerEnd, ...] = ()
    # The answers to suspects of earlier reports.
    exonerations: tuple[_crashrecords.Exoneration, ...] = ()
    # The fingerprint of a suspect that it wants to send to one shard, if any.
    canary: str = ""
    # The requests on which servers broke off that are still being checked.
    suspects: tuple[_suspects.SuspectEntry, ...] = ()
    # The suspects that all their services have answered.
    cleared: tuple[str, ...] = ()
    # The suspects that it had a permit for and has not sent.
    unsent: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class QuarantineList:
    """The quarantined requests that a host knows."""

    entries: tuple[_quarantines.QuarantineEntry, ...]
    # The requests that it sends to one shard first.
    suspects: tuple[_suspects.SuspectEntry, ...] = ()
    # Whether the suspect of the report may be sent.
    permit: _suspects.Permit = _suspects.Permit.GRANTED


class CrashReportClient:
    """Sends reports to other hosts."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def report(
        self, address: str, report: CrashReport, timeout_ms: float
    ) -> QuarantineList:
        """Sends a report to a host and returns its quarantined requests.

        Args:
          address: The state address of the host.
          report: The report.
          timeout_ms: How long to wait for the reply.

        Raises:
          HostUnavailableError: The host did not return a valid reply.
        """
        return await _hostposts.ask(
            self._session,
            address,
            REPORT_PATH,
            report,
            QuarantineList,
            timeout_ms,
        )


def create_crash_report_client(
    session: aiohttp.ClientSession,
) -> CrashReportClient:
    """Creates the client for the reports of this host."""
    return CrashReportClient(session)
