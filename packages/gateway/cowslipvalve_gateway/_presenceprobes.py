"""Probes of other hosts, and the removal of the records of lost ones."""

import asyncio
import logging

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _presenceplans
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _restarts
from cowslipvalve_gateway import _statefetches
from cowslipvalve_gateway import _statesources

# Three failures in a row take less than the 5 s in which the users let a
# deployment notice a failure.
_PROBE_INTERVAL_MS = 1_500.0
# A minute of probes. A freeze or a cut of one host is over by then.
_LOST_FAILURES = 40

_logger = logging.getLogger(__name__)


class PresenceProbing(mode.Service):
    """Finds out which hosts are present.

    The record of a lost host is taken away by the first host of its domain
    that is present, if the store and another host answer that one. A domain of
    which no host answers may be cut off as well as lost, and goes on serving by
    its shares of all limits, so that its records stay. A host whose record was
    taken away registers again.
    """

    def __init__(
        self,
        sources: _statesources.StateSources,
        replica: _replicas.StateReplica,
        own: _resources.HostRecord,
        clock: base.Clock,
    ) -> None:
        super().__init__()
        self._sources = sources
        self._replica = replica
        self._presence = replica.catalog.presence
        self._planner = _presenceplans.create_presence_planner(
            own, self._presence
        )
        self._own = own
        self._clock = clock

    @mode.Service.task
    @_restarts.restart_on_error
    async def _run_rounds(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_PROBE_INTERVAL_MS)
            await self.run_round()

    async def run_round(self) -> None:
        """Probes hosts once; removes the record of one that is lost."""
        hosts = self._replica.catalog.hosts
        plan = self._planner.plan(hosts, self._replica.is_watching)
        self._presence.observes = plan.observes
        answered = await asyncio.gather(*map(self._probe, plan.probed))
        is_store_reached = (
            self._replica.is_watching
            and self._replica.age_ms <= _statefetches.MAX_FRESH_AGE_MS
        )
        if plan.removes and any(answered) and is_store_reached:
            await self._remove_lost()

    async def _probe(self, host: _resources.HostRecord) -> bool:
        """Probes a host; returns whether it answered."""
        try:
            await self._sources.hosts.fetch_age(
                host.state_address, _statefetches.AGE_TIMEOUT_MS
            )
        except _errors.HostUnavailableError as error:
            self._presence.record_failure(host.name)
            base.log_event(_logger, "probe-failed", logging.DEBUG, error=error)
            return False
        self._presence.record_answer(host.name)
        return True

    async def _remove_lost(self) -> None:
        """Removes the record of the host that has been silent longest."""
        lost = [
            host.name
            for host in self._replica.catalog.hosts.values()
            if host.domain == self._own.domain
            and self._presence.count_failures(host.name) >= _LOST_FAILURES
        ]
        if not lost:
            return
        name = max(lost, key=self._presence.count_failures)
        base.log_event(
            _logger,
            "host-lost",
            logging.WARNING,
            host=name,
            failures=self._presence.count_failures(name),
        )
        try:
            await self._sources.store.unregister_host(name)
        except base.PlatformError as error:
            base.log_event(
                _logger, "unregister-failed", logging.WARNING, error=error
            )
            return
        # If it registers again, it has to be lost anew.
        self._presence.forget(name)


def create_presence_probing(
    sources: _statesources.StateSources,
    replica: _replicas.StateReplica,
    own: _resources.HostRecord,
    clock: base.Clock,
) -> PresenceProbing:
    """Creates the service that finds out which hosts are present.

    Args:
      sources: The store and the client for other hosts.
      replica: The state of this host, with the records of all hosts.
      own: The record of this host.
      clock: The clock of the process.
    """
    return PresenceProbing(sources, replica, own, clock)
