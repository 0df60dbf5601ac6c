"""Request bodies that crash the servers that run them."""

import logging
from collections.abc import Awaitable, Callable

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _metrics

_LOGGER = logging.getLogger(__name__)


class Quarantine:
    """Knows which bodies are harmless, suspect or proven to crash servers."""

    def __init__(
        self,
        table: peers.RecordTable,
        metrics: _metrics.Metrics,
        push: Callable[[], Awaitable[None]],
    ) -> None:
        self._table = table
        self._metrics = metrics
        self._push_changes = push
        self._harmless_bodies = policy.create_harmless_bodies()
        self._crashes = policy.create_crash_record()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the body is refused."""
        return self._table.get(("quarantine", fingerprint)) is not None

    def is_harmless(self, fingerprint: str) -> bool:
        """Whether the body has been answered without harm."""
        return fingerprint in self._harmless_bodies

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a connection was lost while the body was running."""
        return bool(self._crashes.get(fingerprint).servers)

    def record_answer(self, fingerprint: str) -> None:
        """Notes that a server has answered the body."""
        self._harmless_bodies.add(fingerprint)
        self._crashes.clear(fingerprint)

    def record_connection_loss(
        self, fingerprint: str, server: str, alone: bool
    ) -> bool:
        """Notes a lost connection; returns whether the body is now proven."""
        self._harmless_bodies.discard(fingerprint)
        return self._crashes.add(fingerprint, server, alone).is_proven

    async def publish(self, search: str, fingerprint: str) -> None:
        """Makes all hosts refuse the body, before its caller is answered."""
        servers = self._crashes.get(fingerprint).servers
        record = model.QuarantineRecord(
            fingerprint=fingerprint, search=search, servers=servers
        )
        self._table.write(model.VersionedRecord(1, quarantine=record))
        self._metrics.quarantined.add(1, {"search": search})
        model.log_event(
            _LOGGER,
            "quarantined",
            logging.WARNING,
            search=search,
            fingerprint=fingerprint,
            servers=",".join(servers),
        )
        await self._push_changes()


def create_quarantine(
    table: peers.RecordTable,
    metrics: _metrics.Metrics,
    push: Callable[[], Awaitable[None]],
) -> Quarantine:
    """Returns the quarantine of an entry host.

    Args:
      table: Where proven bodies are shared.
      metrics: Where they are counted.
      push: Sends the table's changes to the other hosts at once.
    """
    return Quarantine(table, metrics, push)
