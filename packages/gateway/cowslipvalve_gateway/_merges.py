"""Merging the records of many shards."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16  # The records of all searches have this size.


def split_records(body: bytes) -> list[bytes]:
    """Returns the whole records of a part; a shorter remainder is none."""
    end = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, end, RECORD_BYTES)
    ]


def merge_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all parts, greatest first.

    Records are compared byte by byte. Equal records all count.

    Args:
      bodies: The bodies of the parts, records in any order.
      count: The most records that are returned.
    """
    records = (record for body in bodies for record in split_records(body))
    return b"".join(heapq.nlargest(count, records))
