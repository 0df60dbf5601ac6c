"""The documents of stand-in servers, identical on all replicas of a shard."""

import hashlib
import heapq
from collections.abc import Collection

import cowslipvalve_model as model

DOCUMENTS_PER_SHARD = 20


def find_hits(
    snapshot: model.Snapshot, index: int, text: str, count: int
) -> tuple[model.Hit, ...]:
    """Returns the hits of a shard with the highest scores for a query text."""
    hits = [
        _create_hit(snapshot, index, number, text)
        for number in range(DOCUMENTS_PER_SHARD)
    ]
    return _select_best_hits(hits, count)


def find_all_hits(
    snapshot: model.Snapshot,
    text: str,
    count: int,
    missing: Collection[int] = (),
) -> tuple[model.Hit, ...]:
    """Returns the best hits of all shards except the missing ones."""
    hits = [
        hit
        for index in range(snapshot.count)
        if index not in missing
        for hit in find_hits(snapshot, index, text, count)
    ]
    return _select_best_hits(hits, count)


def _create_hit(
    snapshot: model.Snapshot, index: int, number: int, text: str
) -> model.Hit:
    name = f"{snapshot.search}-{snapshot.number}-{index}-{number}"
    digest = hashlib.blake2b(f"{name}\0{text}".encode(), digest_size=4)
    score = int.from_bytes(digest.digest(), "big") / 2**32
    return model.Hit(
        name, round(score, 6), index, {"snapshot": snapshot.number}
    )


def _select_best_hits(
    hits: list[model.Hit], count: int
) -> tuple[model.Hit, ...]:
    best = heapq.nsmallest(
        count, hits, key=lambda hit: (-hit.score, hit.shard, hit.id)
    )
    return tuple(best)
