"""Permits to send a suspect to one shard, which one host gives to all.

Each host that sent a suspect on its own would end a server with it, and ends
that are close to each other are no more evidence than one.
"""

import collections
import contextlib
import logging
from collections.abc import Iterator

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _crashreports
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _suspects

# The hosts know by then whether a server has ended under the last one, and its
# end counts apart from it.
_INTERVAL_MS = 1_500.0
_TIMEOUT_MS = 150.0
_MAX_GRANTS = 1_024

_logger = logging.getLogger(__name__)


class CanaryPermits:
    """Asks for permits, and gives those of the suspects of this host.

    Attributes:
      quarantine: The requests that this host refuses, and its suspects.
    """

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
        self.quarantine = quarantine
        self._client = client
        # When the last permit for a suspect was given, the latest last.
        self._granted_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # The suspects that this host is sending with a permit.
        self._canaries: set[str] = set()

    def is_canary(self, fingerprint: str) -> bool:
        """Whether this host is sending a suspect to one server alone."""
        return fingerprint in self._canaries

    @contextlib.contextmanager
    def send(self, fingerprint: str) -> Iterator[None]:
        """Counts a suspect as sent to one server alone meanwhile."""
        self._canaries.add(fingerprint)
        try:
            yield
        finally:
            self._canaries.discard(fingerprint)

    def grant(self, fingerprint: str) -> _suspects.Permit:
        """Returns whether a suspect may be sent now."""
        if fingerprint in self.quarantine.answered:
            return _suspects.Permit.CLEARED
        now_ms = self._clock.now_ms()
        granted_ms = self._granted_ms.get(fingerprint, float("-inf"))
        if now_ms - granted_ms < _INTERVAL_MS:
            return _suspects.Permit.DENIED
        self._granted_ms[fingerprint] = now_ms
        self._granted_ms.move_to_end(fingerprint)
        while len(self._granted_ms) > _MAX_GRANTS:
            self._granted_ms.popitem(last=False)
        return _suspects.Permit.GRANTED

    def revoke(self, fingerprint: str) -> None:
        """Allows the next permit at once, as the last one was not used."""
        self._granted_ms.pop(fingerprint, None)

    async def ask(self, fingerprint: str) -> _suspects.Permit:
        """Asks the host that gives the permits for a suspect.

        If it does not answer, this host gives one.
        """
        address = self._find_giver(fingerprint)
        if address == self._own.state_address:
            return self.grant(fingerprint)
        report = _crashreports.CrashReport(
            host=self._own.name, canary=fingerprint
        )
        try:
            reply = await self._client.report(address, report, _TIMEOUT_MS)
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "no-canary-permit", logging.WARNING, error=error
            )
            return self.grant(fingerprint)
        self.quarantine.add_all(reply.entries)
        if reply.permit is _suspects.Permit.CLEARED:
            self.quarantine.answered.add(fingerprint)
        return reply.permit

    async def clear(self, fingerprint: str) -> None:
        """Tells the host that gives the permits that servers have answered."""
        await self._tell(
            fingerprint,
            _crashreports.CrashReport(
                host=self._own.name, cleared=(fingerprint,)
            ),
        )

    async def give_back(self, fingerprint: str, age_ms: float) -> None:
        """Returns a permit without which no other host may send the suspect.

        Args:
          fingerprint: The suspect, which was not sent.
          age_ms: How long ago the permit was asked for. Another host may have
            one since if it is too old.
        """
        if age_ms >= _INTERVAL_MS:
            return
        self.revoke(fingerprint)
        await self._tell(
            fingerprint,
            _crashreports.CrashReport(
                host=self._own.name, unsent=(fingerprint,)
            ),
        )

    async def _tell(
        self, fingerprint: str, report: _crashreports.CrashReport
    ) -> None:
        """Sends a report to the host that gives the permits for a suspect."""
        address = self._find_giver(fingerprint)
        if address == self._own.state_address:
            return
        try:
            await self._client.report(address, report, _TIMEOUT_MS)
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "canary-report-failed", logging.WARNING, error=error
            )

    def _find_giver(self, fingerprint: str) -> str:
        hosts = {**self._catalog.present_hosts, self._own.name: self._own}
        return hosts[base.rank_names(hosts, fingerprint)[0]].state_address


def create_canary_permits(
    own: _resources.HostRecord,
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    quarantine: _quarantines.Quarantine,
    client: _crashreports.CrashReportClient,
) -> CanaryPermits:
    """Creates the permits of a host.

    Args:
      own: The record of this host.
      catalog: The hosts of the deployment.
      clock: The clock of the process.
      quarantine: The requests that this host refuses, and its suspects.
      client: Asks other hosts.
    """
    return CanaryPermits(own, catalog, clock, quarantine, client)
