"""Fingerprints of request bodies, and which bodies crash servers."""

import collections
import hashlib
from typing import Any

import attrs

import cowslipvalve_model as model

_MAX_HARMLESS_BODIES = 100_000


def compute_fingerprint(search: str, body: Any) -> str:
    """Returns the fingerprint of a body.

    Equal bodies of the same search have equal fingerprints.
    """
    digest = hashlib.blake2b(search.encode() + b"\0", digest_size=16)
    digest.update(model.encode_plain(body))
    return digest.hexdigest()


class HarmlessBodies:
    """The most recent bodies that servers have answered."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._fingerprints: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._fingerprints

    def add(self, fingerprint: str) -> None:
        """Adds a body that a server has answered."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def discard(self, fingerprint: str) -> None:
        """Removes a body that may crash servers."""
        self._fingerprints.pop(fingerprint, None)


@attrs.frozen
class CrashEvidence:
    """The connections that were lost while a body was running."""

    # The servers whose connections were lost while they ran the body.
    servers: tuple[str, ...] = ()
    # Whether the body ran alone when one of the connections was lost.
    alone: bool = False

    @property
    def is_proven(self) -> bool:
        """Whether the body, and none that ran beside it, crashes servers."""
        return len(set(self.servers)) > 1 and self.alone


class CrashRecord:
    """Keeps the evidence of lost connections against request bodies.

    The first lost connection makes every running body a suspect. Suspects run
    alone, so that a second lost connection has only one possible cause. An
    answer clears a suspect.
    """

    def __init__(self) -> None:
        self._evidence: dict[str, CrashEvidence] = {}

    def add(self, fingerprint: str, server: str, alone: bool) -> CrashEvidence:
        """Adds a lost connection; returns all evidence against the body."""
        old = self._evidence.get(fingerprint, CrashEvidence())
        evidence = CrashEvidence((*old.servers, server), old.alone or alone)
        self._evidence[fingerprint] = evidence
        return evidence

    def get(self, fingerprint: str) -> CrashEvidence:
        """Returns the evidence against a body."""
        return self._evidence.get(fingerprint, CrashEvidence())

    def clear(self, fingerprint: str) -> None:
        """Removes the evidence against a body that a server has answered."""
        self._evidence.pop(fingerprint, None)


def create_harmless_bodies(limit: int = _MAX_HARMLESS_BODIES) -> HarmlessBodies:
    """Returns an empty set of harmless bodies."""
    return HarmlessBodies(limit)


def create_crash_record() -> CrashRecord:
    """Returns a record without evidence."""
    return CrashRecord()
