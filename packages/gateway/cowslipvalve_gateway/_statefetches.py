"""Fetches the state of other hosts, and takes what this host lacks."""

import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _statelogs
from cowslipvalve_gateway import _statesources

# The strictest deployment requires changes to reach all hosts within 3 s. A
# stale source may go unnoticed for half of that; the other half suffices to
# find another source and to fetch from it.
MAX_FRESH_AGE_MS = 1_500.0
# The long poll and a round trip between distant regions.
FETCH_TIMEOUT_MS = 900.0
AGE_TIMEOUT_MS = 400.0  # A slower host is not a good source.

_logger = logging.getLogger(__name__)


class StateFetches:
    """Fetches from other hosts into this host's replica."""

    def __init__(
        self,
        sources: _statesources.StateSources,
        replica: _replicas.StateReplica,
    ) -> None:
        self._sources = sources
        self._replica = replica

    async def fetch_age(self, address: str) -> _replicas.StateMessage | None:
        """Returns a host's message without its state, None without one."""
        try:
            return await self._sources.hosts.fetch_age(address, AGE_TIMEOUT_MS)
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "host-not-asked", logging.DEBUG, error=error
            )
            return None

    async def fetch_once(self, source: str) -> None:
        """Fetches and applies the state of another host once."""
        message = await self.fetch_all(source, self._replica.log.positions)
        if message is not None:
            self._replica.apply_message(message)

    async def fetch_all(
        self,
        source: str,
        positions: _statelogs.Positions,
        timeout_ms: float = FETCH_TIMEOUT_MS,
    ) -> _replicas.StateMessage | None:
        """Fetches the state of another host after the given positions."""
        try:
            return await self._sources.hosts.fetch(
                source, positions, 0, timeout_ms
            )
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "state-not-taken", logging.WARNING, error=error
            )
            return None

    async def take_newer(
        self, source: str, message: _replicas.StateMessage
    ) -> None:
        """Takes the state of a host that has a newer routing table."""
        catalog = self._replica.catalog
        if message.version <= catalog.get_table_version():
            return
        base.log_event(
            _logger,
            "table-behind",
            logging.WARNING,
            peer=source,
            version=catalog.get_table_version(),
            newer=message.version,
        )
        await self.fetch_once(source)
        if message.version > catalog.get_table_version():
            # By its position the table is not newer: the store was restored.
            whole = await self.fetch_all(source, {})
            if whole is not None:
                self._replica.take_table(whole)


def create_state_fetches(
    sources: _statesources.StateSources, replica: _replicas.StateReplica
) -> StateFetches:
    """Creates the fetches of a host."""
    return StateFetches(sources, replica)
