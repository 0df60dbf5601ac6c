"""Decides under which requests servers end.

A request that ran when a server ended is a suspect. It is convicted once
servers have ended under it several times, apart from each other, unless
another suspect explains that as well.
"""

import collections

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _quarantines

_MIN_STRIKES = 3
# Ends of servers in a shorter time are one strike, as a failure domain's
# servers end together under requests that are not at fault.
_STRIKE_INTERVAL_MS = 1_000.0
# The reports of several hosts of one end of a server arrive within this time.
_SAME_END_MS = 1_000.0
# If two requests always ran together, either may be at fault. One that is not
# gets an answer or has reached its deadline before so many strikes.
_AMBIGUOUS_STRIKES = 5
_KEPT_MS = 3_600_000.0
_MAX_SUSPECTS = 4_096
_MAX_ENDS_PER_SUSPECT = 64  # Shards of a gathered request end together.
_MAX_SERVERS = 4_096


@attrs.frozen(kw_only=True)
class ServerEnd:
    """A server that ended while it ran requests."""

    # The server and its service.
    server: str
    service: str
    # How many ms ago it ended.
    age_ms: float
    # The fingerprints of the requests that it ran for the reporting host.
    suspects: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Exoneration:
    """A service that has answered a suspect."""

    fingerprint: str
    service: str


@attrs.frozen(eq=False)
class _End:
    """An end of a server, as all reports tell it."""

    service: str
    at_ms: float


@attrs.define
class _Suspect:
    """The evidence against one request."""

    ends: collections.deque[_End]
    # The services that have answered it.
    answered: set[str]


class CrashRecord:
    """The evidence of all suspects; the oldest is dropped beyond a bound."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        # By fingerprint, in the order of their latest evidence.
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        # The latest end of each server, in their order.
        self._ends: collections.OrderedDict[str, _End] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._suspects)

    def add_end(self, end: ServerEnd) -> None:
        """Adds a report of a server's end."""
        found = self._find_end(end)
        for fingerprint in end.suspects:
            suspect = self._suspects.setdefault(
                fingerprint,
                _Suspect(
                    collections.deque(maxlen=_MAX_ENDS_PER_SUSPECT), set()
                ),
            )
            if found not in suspect.ends:
                suspect.ends.append(found)
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def exonerate(self, exoneration: Exoneration) -> None:
        """Discards the evidence of a service that has answered a suspect."""
        suspect = self._suspects.get(exoneration.fingerprint)
        if suspect is not None:
            suspect.answered.add(exoneration.service)

    def find_convicted(self) -> list[_quarantines.QuarantineEntry]:
        """Returns the requests under which servers end."""
        ends = {
            fingerprint: self._find_unanswered(suspect)
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.ends) >= _MIN_STRIKES
        }
        convicted = []
        explained: set[_End] = set()
        # What the request with most evidence explains counts against no other.
        for fingerprint in sorted(ends, key=lambda f: -len(ends[f])):
            own = ends[fingerprint] - explained
            strikes = _count_strikes(own)
            if strikes < _MIN_STRIKES:
                continue
            is_ambiguous = any(
                other != fingerprint and own <= ends[other] for other in ends
            )
            if is_ambiguous and strikes < _AMBIGUOUS_STRIKES:
                continue
            explained |= own
            convicted.append(
                _quarantines.QuarantineEntry(
                    fingerprint=fingerprint,
                    spared=tuple(sorted(self._suspects[fingerprint].answered)),
                )
            )
        return convicted

    def _find_end(self, report: ServerEnd) -> _End:
        at_ms = self._clock.now_ms() - report.age_ms
        known = self._ends.get(report.server)
        if known is not None and abs(known.at_ms - at_ms) <= _SAME_END_MS:
            return known
        found = _End(report.service, at_ms)
        self._ends[report.server] = found
        self._ends.move_to_end(report.server)
        while len(self._ends) > _MAX_SERVERS:
            self._ends.popitem(last=False)
        return found

    def _find_unanswered(self, suspect: _Suspect) -> set[_End]:
        oldest_ms = self._clock.now_ms() - _KEPT_MS
        return {
            end
            for end in suspect.ends
            if end.at_ms >= oldest_ms and end.service not in suspect.answered
        }


def _count_strikes(ends: set[_End]) -> int:
    strikes = 0
    last_ms = float("-inf")
    for at_ms in sorted(end.at_ms for end in ends):
        if at_ms - last_ms >= _STRIKE_INTERVAL_MS:
            strikes += 1
            last_ms = at_ms
    return strikes


def create_crash_record(clock: base.Clock) -> CrashRecord:
    """Creates a record without evidence."""
    return CrashRecord(clock)
