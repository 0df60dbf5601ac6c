"""Tracks request bodies that may crash the servers that run them."""

import logging
from collections.abc import Awaitable, Callable

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _metrics

_LOGGER = logging.getLogger(__name__)


class Quarantine:
    """Tracks which bodies are harmless, suspect or proven to crash servers.

    A body is suspect after a connection was lost while the server ran it. A
    body that is proven to crash servers is quarantined: all hosts refuse it.
    """

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
        """Whether all hosts refuse the body."""
        return self._table.get(("quarantine", fingerprint)) is not None

    def is_harmless(self, fingerprint: str) -> bool:
        """Whether the body was answered and no connection was lost since."""
        return fingerprint in self._harmless_bodies

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a connection was lost while the body was running."""
        return bool(self._crashes.get(fingerprint).servers)

    def record_answer(self, fingerprint: str) -> None:
        """Marks an answered body as harmless and clears its crash record."""
        self._harmless_bodies.add(fingerprint)
        self._crashes.clear(fingerprint)

    def record_connection_loss(
        self, fingerprint: str, server: str, alone: bool
    ) -> bool:
        """Records that the connection was lost while a server ran the body.

        Args:
          fingerprint: The fingerprint of the body.
          server: The name of the server.
          alone: Whether nothing else ran on the server at the same time.

        Returns:
          Whether the body is now proven to crash servers.
        """
        self._harmless_bodies.discard(fingerprint)
        return self._crashes.add(fingerprint, server, alone).is_proven

    async def publish(self, search: str, fingerprint: str) -> None:
        """Makes all hosts refuse the body.

        The record is pushed to the other hosts before this method returns,
        and so before the caller gets a failure and may resend the body.
        """
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
    """Returns the quarantine of a host.

    Args:
      table: Shares the quarantined bodies with the other hosts.
      metrics: Counts the quarantined bodies.
      push: Sends the table's changes to the other hosts immediately.
    """
    return Quarantine(table, metrics, push)
