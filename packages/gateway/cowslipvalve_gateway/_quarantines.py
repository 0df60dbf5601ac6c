"""Requests that are not sent to servers, because servers end under them.

Answers the load of a request that ends each server that runs it and comes
again: sent on, it would take all servers of its services from other requests.
"""

from collections.abc import Iterable

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _answeredrequests
from cowslipvalve_gateway import _suspects

# How long a request is refused. If it then ends a server again, the earlier
# evidence still counts, so that it is refused for as long again at once.
_QUARANTINE_MS = 600_000.0
_MAX_ENTRIES = 256  # 30 KB in each message between hosts.


@attrs.frozen(kw_only=True)
class QuarantineEntry:
    """A quarantined request."""

    # The fingerprint of the request.
    fingerprint: str
    # The services that have answered it and may get it.
    spared: tuple[str, ...] = ()
    # For how many ms the request is still refused.
    remaining_ms: float = _QUARANTINE_MS


@attrs.frozen
class _Term:
    """A quarantine in force, until a time on the process's clock."""

    spared: frozenset[str]
    until_ms: float


class Quarantine:
    """The requests that this host refuses.

    Attributes:
      answered: The requests that this host refuses in no case, as their servers
        have answered them.
      suspects: The requests that it sends to one shard first.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self.answered = _answeredrequests.create_answered_requests()
        self.suspects = _suspects.create_suspect_list(clock)
        # By fingerprint, the earliest first.
        self._terms: dict[str, _Term] = {}

    def __bool__(self) -> bool:
        return bool(self._terms)

    def __contains__(self, fingerprint: str) -> bool:
        return self.compute_remaining_ms(fingerprint) > 0.0

    def blocks(self, fingerprint: str, service: str) -> bool:
        """Whether a request must not be sent to the servers of a service."""
        if fingerprint not in self:
            return False
        return service not in self._terms[fingerprint].spared

    def compute_remaining_ms(self, fingerprint: str) -> float:
        """Returns for how many ms a request is refused, 0 if it is not."""
        term = self._terms.get(fingerprint)
        if term is None:
            return 0.0
        remaining_ms = term.until_ms - self._clock.now_ms()
        if remaining_ms <= 0.0:
            del self._terms[fingerprint]
        return max(0.0, remaining_ms)

    def add_all(self, entries: Iterable[QuarantineEntry]) -> list[str]:
        """Adds entries; returns the fingerprints that were not refused yet."""
        added = []
        for entry in entries:
            remaining_ms = min(_QUARANTINE_MS, entry.remaining_ms)
            if remaining_ms <= 0.0 or entry.fingerprint in self.answered:
                continue
            if entry.fingerprint not in self:
                added.append(entry.fingerprint)
            self._merge(entry, self._clock.now_ms() + remaining_ms)
        while len(self._terms) > _MAX_ENTRIES:
            del self._terms[next(iter(self._terms))]
        return added

    def _merge(self, entry: QuarantineEntry, until_ms: float) -> None:
        spared = frozenset(entry.spared)
        old = self._terms.get(entry.fingerprint)
        if old is not None:
            spared |= old.spared
            until_ms = max(until_ms, old.until_ms)
        self._terms[entry.fingerprint] = _Term(spared, until_ms)

    def list_entries(self) -> tuple[QuarantineEntry, ...]:
        """Returns all entries, for other hosts."""
        return tuple(
            QuarantineEntry(
                fingerprint=fingerprint,
                spared=tuple(sorted(self._terms[fingerprint].spared)),
                remaining_ms=self.compute_remaining_ms(fingerprint),
            )
            for fingerprint in list(self._terms)
            if fingerprint in self
        )


def create_quarantine(clock: base.Clock) -> Quarantine:
    """Creates a quarantine of no requests."""
    return Quarantine(clock)
