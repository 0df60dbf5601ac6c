"""What a store that was restored from a copy may not take back.

After a restore the store lacks its latest changes until their authors write
them again, and holds again what was deleted since the copy. For a while the
host goes by what it knew before.
"""

import attrs

from cowslipvalve_gateway import _stores

# Operators, servers and hosts write again what the copy lacks, and entries of
# servers that have left run out.
REPAIR_MS = 10_000.0


def keep_newest_table(
    known: dict[str, _stores.StateItem], listing: _stores.StateListing
) -> _stores.StateListing:
    """Returns a listing with the known routing table if its own is older.

    Args:
      known: The known objects of the configuration by name.
      listing: A listing of the configuration.
    """
    kept = {item.name: item for item in listing.items}
    for name, item in known.items():
        if item.table is None or not (listing.is_whole or name in kept):
            continue
        new = kept.get(name)
        if (
            new is None
            or new.table is None
            or new.table.version < item.table.version
        ):
            kept[name] = item
    return attrs.evolve(listing, items=tuple(kept.values()))


class Repair:
    """Repairs the listings of one kind after a restore of the store.

    Attributes:
      known: The objects and deletions as this host knew them before the
        restore or has learned them since, by name.
      end_ms: When the store's state counts alone, on the process's clock.
    """

    def __init__(
        self,
        kind: _stores.StateKind,
        known: dict[str, _stores.StateItem],
        end_ms: float,
    ) -> None:
        self._kind = kind
        self.known = known
        self.end_ms = end_ms

    def apply(self, listing: _stores.StateListing) -> _stores.StateListing:
        """Returns a listing as this host is to go by it."""
        if not listing.is_whole:
            self.known.update((item.name, item) for item in listing.items)
            return listing
        listed = {item.name: item for item in listing.items}
        if self._kind is _stores.StateKind.SERVERS:
            # Servers that are missing have a grace period of their own.
            kept = {
                name: _choose_newer(item, self.known.get(name))
                for name, item in listed.items()
            }
        elif self._kind is _stores.StateKind.DOMAINS_OUT:
            kept = {**self.known, **listed}
        else:
            kept = {**listed, **self.known}
        return attrs.evolve(
            listing, items=tuple(i for i in kept.values() if i.is_valid)
        )


def _choose_newer(
    listed: _stores.StateItem, known: _stores.StateItem | None
) -> _stores.StateItem:
    """Returns the newer one of two registrations of a server.

    A registration that was deleted since the copy is as old as the deletion.
    """
    if known is None or known.server is None or listed.server is None:
        return listed
    if known.is_valid:
        is_older = listed.server.is_older_than(known.server)
        return known if is_older else listed
    is_newer = known.server.is_older_than(listed.server)
    return listed if is_newer else known
