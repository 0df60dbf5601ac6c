"""Names of request bodies and what is known of them."""

import collections
import hashlib
from typing import Any

import attrs

import cowslipvalve_model as model

_MAX_HARMLESS_BODIES = 100_000


def compute_fingerprint(search: str, body: Any) -> str:
    """Returns the name of a body, equal for equal bodies of a search."""
    digest = hashlib.blake2b(search.encode() + b"\0", digest_size=16)
    digest.update(model.encode_plain(body))
    return digest.hexdigest()


class HarmlessBodies:
    """Bodies that have run without harm, the latest used ones."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._fingerprints: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._fingerprints

    def add(self, fingerprint: str) -> None:
        """Notes that a body was answered."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def discard(self, fingerprint: str) -> None:
        """Notes that a body may crash servers."""
        self._fingerprints.pop(fingerprint, None)


@attrs.frozen
class CrashEvidence:
    """The lost connections that a body is suspected of."""

    # The servers whose connections were lost while they ran it.
    servers: tuple[str, ...] = ()
    # Whether it ran alone when one of them was lost.
    alone: bool = False

    @property
    def is_proven(self) -> bool:
        """Whether the body, and no neighbour of it, crashes servers."""
        return len(set(self.servers)) > 1 and self.alone


class CrashRecord:
    """Counts lost connections against the bodies that were running.

    A first loss makes every running body a suspect. Suspects run alone, so
    that the other loss has one cause. An answer clears a suspect.
    """

    def __init__(self) -> None:
        self._evidence: dict[str, CrashEvidence] = {}

    def add(self, fingerprint: str, server: str, alone: bool) -> CrashEvidence:
        """Counts a lost connection and returns all that is known."""
        old = self._evidence.get(fingerprint, CrashEvidence())
        evidence = CrashEvidence((*old.servers, server), old.alone or alone)
        self._evidence[fingerprint] = evidence
        return evidence

    def get(self, fingerprint: str) -> CrashEvidence:
        """Returns the lost connections of a body."""
        return self._evidence.get(fingerprint, CrashEvidence())

    def clear(self, fingerprint: str) -> None:
        """Notes that a server has answered the body."""
        self._evidence.pop(fingerprint, None)


def create_harmless_bodies(limit: int = _MAX_HARMLESS_BODIES) -> HarmlessBodies:
    """Returns an empty set of harmless bodies."""
    return HarmlessBodies(limit)


def create_crash_record() -> CrashRecord:
    """Returns a record without strikes."""
    return CrashRecord()
