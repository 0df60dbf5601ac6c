"""Rendezvous hashing."""

import functools
import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8
_WEIGHT_COUNT = 1 << (8 * _DIGEST_BYTES)


@functools.lru_cache(maxsize=1 << 16)
def _compute_weight(name: str, key: str) -> int:
    digest = hashlib.blake2b(
        f"{name}\0{key}".encode(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(digest.digest(), "big")


def rank_names(names: Iterable[str], key: str) -> tuple[str, ...]:
    """Ranks names for a key by rendezvous hashing, preferred name first.

    Removing a name reassigns only the keys for which it was preferred.
    """
    return tuple(
        sorted(names, key=lambda name: (_compute_weight(name, key), name))
    )


def choose_name(names: Iterable[str], key: str) -> str | None:
    """Returns the preferred name for a key, None if there are no names."""
    return min(
        names, key=lambda name: (_compute_weight(name, key), name), default=None
    )


def compute_fraction(name: str, key: str) -> float:
    """Returns a fraction above 0 and at most 1 that looks random.

    The fractions of a key's names serve weighted rendezvous hashing.
    """
    return (_compute_weight(name, key) + 1) / _WEIGHT_COUNT
