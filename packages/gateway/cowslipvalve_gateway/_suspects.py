"""Requests under which servers have ended, though it is not known why.

Such a request is sent to one shard before it is sent to all, so that it ends
one server at most if it is at fault.
"""

import enum
from collections.abc import Iterable

import attrs

import cowslipvalve_base as base

# As many servers have to end under a request before it is a suspect.
MIN_ENDS = 3
_SUSPECT_MS = 600_000.0
MAX_ENTRIES = 64  # 5 KB in each message between hosts.


class Permit(enum.Enum):
    """Whether a suspect may be sent to one shard."""

    GRANTED = "granted"
    # It was sent so lately that the outcome is not known.
    DENIED = "denied"
    # Its servers have answered it, so that it is no suspect any more.
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class SuspectEntry:
    """A request under which servers have ended."""

    # The fingerprint of the request.
    fingerprint: str
    # For how many ms it remains a suspect.
    remaining_ms: float = _SUSPECT_MS


class SuspectList:
    """The suspects that a host knows."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        # Until when each is a suspect.
        self._until_ms: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._until_ms)

    def __contains__(self, fingerprint: str) -> bool:
        until_ms = self._until_ms.get(fingerprint)
        if until_ms is not None and until_ms <= self._clock.now_ms():
            del self._until_ms[fingerprint]
            return False
        return until_ms is not None

    def add_all(self, entries: Iterable[SuspectEntry]) -> None:
        """Adds suspects; beyond a bound those that end first are dropped."""
        for entry in entries:
            remaining_ms = min(_SUSPECT_MS, entry.remaining_ms)
            until_ms = self._clock.now_ms() + remaining_ms
            if until_ms <= self._until_ms.get(entry.fingerprint, 0.0):
                continue
            self._until_ms.pop(entry.fingerprint, None)
            self._until_ms[entry.fingerprint] = until_ms
        while len(self._until_ms) > MAX_ENTRIES:
            del self._until_ms[
                min(self._until_ms, key=self._until_ms.__getitem__)
            ]

    def list_entries(self) -> tuple[SuspectEntry, ...]:
        """Returns all suspects, for other hosts."""
        now_ms = self._clock.now_ms()
        return tuple(
            SuspectEntry(fingerprint=name, remaining_ms=until_ms - now_ms)
            for name, until_ms in self._until_ms.items()
            if until_ms > now_ms
        )


def create_suspect_list(clock: base.Clock) -> SuspectList:
    """Creates an empty list."""
    return SuspectList(clock)
