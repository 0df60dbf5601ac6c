"""Merging of records from several shards."""

from collections.abc import Iterable

RECORD_BYTES = 16  # All searches use records of this size.


def split_records(body: bytes) -> list[bytes]:
    """Splits a body into records; ignores an incomplete last record."""
    end = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, end, RECORD_BYTES)
    ]


def merge_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all parts in descending order.

    Records are compared byte by byte. Duplicates are kept.

    Args:
      bodies: The bodies of the parts, with records in any order.
      count: The maximum number of records to return.
    """
    records = [record for body in bodies for record in split_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:count])
