"""Comparison of what a watcher of the store knows with other watchers.

They tell each other what a silent watch or a restored store does not tell them.
"""

import logging
import random

import cowslipvalve_base as base
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _statefetches
from cowslipvalve_gateway import _statesources

# A third of the strictest bound for a change.
_COMPARE_INTERVAL_MS = 1_000.0
_FIRST_COMPARE_MS = 100.0
# The longest wait of a watch, and its answer.
_FIRST_WATCHES_MS = 5_000.0

_logger = logging.getLogger(__name__)


class StateComparison:
    """Compares while this host watches the store."""

    def __init__(
        self,
        sources: _statesources.StateSources,
        replica: _replicas.StateReplica,
        fetches: _statefetches.StateFetches,
        clock: base.Clock,
    ) -> None:
        self._sources = sources
        self._replica = replica
        self._fetches = fetches
        self._clock = clock

    async def run(self) -> None:
        """Compares what this host knows with another watcher, in turn."""
        settled_ms = float("inf")
        while True:
            catalog = self._replica.catalog
            others = self._sources.choice.other_watchers(catalog.present_hosts)
            now_ms = self._clock.now_ms()
            if not (
                self._replica.is_watching and catalog.is_complete and others
            ):
                settled_ms = now_ms + _FIRST_WATCHES_MS
                await self._clock.sleep_ms(_FIRST_COMPARE_MS)
                continue
            source = random.choice(others)
            message = await self._fetch_compared(source, now_ms >= settled_ms)
            if message is not None:
                await self._fetches.take_newer(source, message)
            await self._clock.sleep_ms(_COMPARE_INTERVAL_MS)

    async def _fetch_compared(
        self, source: str, is_settled: bool
    ) -> _replicas.StateMessage | None:
        """Fetches and applies what another watcher knows and this one does not.

        Args:
          source: The state address of the other one.
          is_settled: Whether this host's own watches have begun to return.
            Before that the other one would send all that it knows.
        """
        if not is_settled:
            message = await self._fetches.fetch_age(source)
            if message is not None:
                self._replica.apply_quarantine(message)
            return message
        message = await self._fetches.fetch_all(
            source, self._replica.log.positions, _statefetches.AGE_TIMEOUT_MS
        )
        if message is None:
            return None
        for update in message.updates:
            if update.listing.items:
                base.log_event(
                    _logger,
                    "state-behind",
                    peer=source,
                    kind=update.kind.value,
                    changes=len(update.listing.items),
                )
        self._replica.apply_message(message)
        return message


def create_state_comparison(
    sources: _statesources.StateSources,
    replica: _replicas.StateReplica,
    fetches: _statefetches.StateFetches,
    clock: base.Clock,
) -> StateComparison:
    """Creates a comparison that is not started."""
    return StateComparison(sources, replica, fetches, clock)
