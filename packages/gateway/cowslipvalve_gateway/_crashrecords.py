"""Decides under which requests servers end.

A request that ran when a server ended is a suspect. It is convicted once
servers have ended under it several times, apart from each other, unless
another suspect explains that as well.
"""

import collections
import math
from collections.abc import Iterable

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _suspects

_MIN_STRIKES = 3
# A suspect that is sent to one server alone explains its end better than one of
# the requests that happened to run there.
_CANARY_STRIKES = 2
# Ends of servers in a shorter time are one strike, as a failure domain's
# servers end together under requests that are not at fault.
_STRIKE_INTERVAL_MS = 1_000.0
# The reports of several hosts of one end of a server arrive within this time.
_SAME_END_MS = 1_000.0
# If two requests always ran together, either may be at fault. One that is not
# gets an answer or has reached its deadline before so many strikes.
_AMBIGUOUS_STRIKES = 5
# A request is at fault for a wave of ends if it ran on so large a share of the
# servers, and no other one on more than the second share of those.
_MIN_CULPRIT_SHARE = 0.75
_MAX_OTHERS_SHARE = 0.75
# Shorter than other terms, as one wave is less evidence than ends apart.
_WAVE_QUARANTINE_MS = 60_000.0
_KEPT_MS = 3_600_000.0
_MAX_SUSPECTS = 4_096
# Three times the servers of 360 shards, which end together.
_MAX_ENDS_PER_SUSPECT = 2_048
_MAX_ENDS = 65_536  # Of all suspects, 16 MB.
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
    # Those that came from another server of the service that broke off too.
    resent: tuple[str, ...] = ()
    # Those that were sent to this server alone, as suspects.
    canaries: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Exoneration:
    """A service that has answered a suspect."""

    fingerprint: str
    service: str


@attrs.frozen(kw_only=True)
class Evidence:
    """How much speaks against a request."""

    fingerprint: str
    # The ends of servers of services that have not answered it.
    ends: int
    # How many of the ends count.
    strikes: int
    # The services that have answered it.
    answered: int


@attrs.frozen(kw_only=True)
class Wave:
    """Servers that ended at about the same time, and the main suspect.

    Servers that fail together don't take the other server of a shard to which a
    request is then resent; a request that ends each server does. Others that
    run beside it are not on nearly all of these servers.
    """

    fingerprint: str
    # How many servers ended, and on how many of them the suspect ran.
    servers: int
    ran_on: int
    # On how many any other request ran.
    others_ran_on: int
    # How many ended after another one of their service, when it was resent.
    repeated: int
    # Whether a service has answered it.
    is_answered: bool

    @property
    def is_explained(self) -> bool:
        """Whether the suspect is at fault for the wave."""
        return (
            not self.is_answered
            and self.repeated >= _MIN_STRIKES
            and self.ran_on >= _MIN_CULPRIT_SHARE * self.servers
            and self.others_ran_on <= _MAX_OTHERS_SHARE * self.ran_on
        )

    def create_entry(self) -> _quarantines.QuarantineEntry:
        """Returns the entry by which the suspect is refused."""
        return _quarantines.QuarantineEntry(
            fingerprint=self.fingerprint, remaining_ms=_WAVE_QUARANTINE_MS
        )


@attrs.frozen(eq=False)
class _End:
    """An end of a server, as all reports tell it."""

    service: str
    at_ms: float
    # All that ran on the server, and those of them that were resent or sent to
    # it alone.
    suspects: set[str] = attrs.field(factory=set)
    resent: set[str] = attrs.field(factory=set)
    canaries: set[str] = attrs.field(factory=set)


@attrs.define
class _Suspect:
    """The evidence against one request."""

    # In the order of their reports.
    ends: dict[_End, None] = attrs.field(factory=dict)
    # The services that have answered it.
    answered: set[str] = attrs.field(factory=set)


class CrashRecord:
    """The evidence of all suspects; the oldest is dropped beyond a bound."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        # By fingerprint, in the order of their latest evidence.
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._end_count = 0
        # The latest end of each server, in their order.
        self._ends: collections.OrderedDict[str, _End] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._suspects)

    def add_end(self, end: ServerEnd) -> None:
        """Adds a report of a server's end."""
        found = self._find_end(end)
        found.suspects.update(end.suspects)
        found.resent.update(end.resent)
        found.canaries.update(end.canaries)
        for fingerprint in end.suspects:
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            self._suspects.move_to_end(fingerprint)
            if found in suspect.ends:
                continue
            suspect.ends[found] = None
            self._end_count += 1
            if len(suspect.ends) > _MAX_ENDS_PER_SUSPECT:
                self._drop_end(fingerprint, next(iter(suspect.ends)))
        while (
            len(self._suspects) > _MAX_SUSPECTS or self._end_count > _MAX_ENDS
        ):
            oldest = next(iter(self._suspects))
            for dropped in list(self._suspects[oldest].ends):
                self._drop_end(oldest, dropped)
            del self._suspects[oldest]

    def _drop_end(self, fingerprint: str, end: _End) -> None:
        del self._suspects[fingerprint].ends[end]
        end.suspects.discard(fingerprint)
        end.resent.discard(fingerprint)
        end.canaries.discard(fingerprint)
        self._end_count -= 1

    def exonerate(self, exoneration: Exoneration) -> None:
        """Discards the evidence of a service that has answered a suspect."""
        suspect = self._suspects.get(exoneration.fingerprint)
        if suspect is not None:
            suspect.answered.add(exoneration.service)

    def list_evidence(self, fingerprints: Iterable[str]) -> list[Evidence]:
        """Returns the evidence against requests, the strongest first."""
        found = []
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                continue
            ends = self._find_unanswered(suspect)
            found.append(
                Evidence(
                    fingerprint=fingerprint,
                    ends=len(ends),
                    strikes=_count_strikes(fingerprint, ends),
                    answered=len(suspect.answered),
                )
            )
        return sorted(found, key=lambda e: (-e.strikes, -e.ends))

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
            strikes = _count_strikes(fingerprint, own)
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

    @property
    def wave_age_ms(self) -> float:
        """How many ms ago the latest known server ended, inf if none has."""
        latest_ms = max(
            (end.at_ms for end in self._ends.values()), default=-math.inf
        )
        return self._clock.now_ms() - latest_ms

    def find_wave(self) -> Wave | None:
        """Returns the latest wave of ends, None if no server has ended."""
        ends = self._find_latest_ends()
        counts = collections.Counter(f for end in ends for f in end.suspects)
        if not counts:
            return None
        (fingerprint, count), *others = counts.most_common(2)
        suspect = self._suspects.get(fingerprint)
        return Wave(
            fingerprint=fingerprint,
            servers=len(ends),
            ran_on=count,
            others_ran_on=others[0][1] if others else 0,
            repeated=_count_repeated_ends(fingerprint, ends),
            is_answered=suspect is None or bool(suspect.answered),
        )

    def _find_latest_ends(self) -> list[_End]:
        """Returns the latest ends that are close to each other."""
        wave: list[_End] = []
        for end in sorted(self._ends.values(), key=lambda end: -end.at_ms):
            if wave and wave[-1].at_ms - end.at_ms > _STRIKE_INTERVAL_MS:
                break
            wave.append(end)
        return wave

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


def create_suspect_entries(
    evidence: Iterable[Evidence],
) -> list[_suspects.SuspectEntry]:
    """Creates entries of those under which several servers ended.

    Args:
      evidence: Evidence against requests, the strongest first.

    Returns:
      The entries, the worst last.
    """
    found = [
        _suspects.SuspectEntry(fingerprint=each.fingerprint)
        for each in evidence
        if each.ends >= _suspects.MIN_ENDS
    ]
    return found[::-1]


def _count_strikes(fingerprint: str, ends: set[_End]) -> int:
    strikes: list[int] = []
    last_ms = float("-inf")
    for end in sorted(ends, key=lambda end: end.at_ms):
        if end.at_ms - last_ms >= _STRIKE_INTERVAL_MS:
            strikes.append(1)
            last_ms = end.at_ms
        if fingerprint in end.canaries:
            strikes[-1] = _CANARY_STRIKES
    return sum(strikes)


def _count_repeated_ends(fingerprint: str, wave: Iterable[_End]) -> int:
    """Returns how many servers ended under a request after one before them."""
    ended = collections.Counter(
        end.service for end in wave if fingerprint in end.suspects
    )
    return sum(
        fingerprint in end.resent and ended[end.service] > 1 for end in wave
    )


def create_crash_record(clock: base.Clock) -> CrashRecord:
    """Creates a record without evidence."""
    return CrashRecord(clock)
