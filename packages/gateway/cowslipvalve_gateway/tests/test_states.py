"""Unit tests of the catalog, and of the log of the state for other hosts."""

import asyncio
import unittest

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _statelogs
from cowslipvalve_standins import _clocks

_SERVER = gateway.Server(
    instance_id="i-0",
    service="orders",
    address="127.0.0.1:1",
    domain="kuopio",
    state=gateway.ServerState.READY,
    slots=2,
)


class CatalogTest(unittest.TestCase):

    def test_catalog_is_complete_in_either_order(self) -> None:
        # A request at the start waits until the catalog is complete.
        table = gateway.RoutingTable(version=1, routes=(), services={})
        for is_table_first in (True, False):
            with self.subTest(is_table_first):
                catalog = gateway.create_catalog(
                    _clocks.create_manual_clock(), {}
                )
                if is_table_first:
                    catalog.set_table(table)
                catalog.retain_servers(frozenset(), 0.0)
                catalog.set_table(table)
                self.assertTrue(asyncio.run(catalog.wait_until_complete(0.0)))

    def test_registration_that_ends_twice_is_removed_once(self) -> None:
        # After an outage a registration lapses within the grace period; then
        # a listing lacks the server while its removal is still pending.
        clock = _clocks.create_manual_clock()
        catalog = gateway.create_catalog(clock, {})
        catalog.put_server(_SERVER)
        catalog.drop_server(_SERVER.instance_id, grace_ms=2_500.0)
        catalog.drop_server(_SERVER.instance_id, grace_ms=0.0)
        self.assertEqual(catalog.count_servers(), 0)
        clock.advance(3_000.0)
        catalog.remove_lapsed()
        self.assertEqual(catalog.count_servers(), 0)


def _create_positions(
    revision: int, era: int = 0
) -> dict[gateway.StateKind, gateway.Position]:
    position = gateway.Position(era=era, revision=revision)
    return {gateway.StateKind.SERVERS: position}


class StateLogTest(unittest.TestCase):
    """What hosts send to others is complete and never reverts."""

    def setUp(self) -> None:
        self.log = _statelogs.create_state_log()

    def add(
        self,
        revision: int,
        *names: str,
        is_whole: bool = False,
        **deleted: bool,
    ) -> bool:
        items = [_create_item(name, revision) for name in names]
        items += [
            gateway.StateItem(name=name, is_valid=False) for name in deleted
        ]
        return self.log.add(
            gateway.StateKind.SERVERS,
            gateway.StateListing(
                items=tuple(items), revision=revision, is_whole=is_whole
            ),
        )

    def read(self, revision: int) -> tuple[bool, set[str], set[str]]:
        """Returns whether a listing is whole, its objects and its deletions."""
        listing = self.log.read_after(_create_positions(revision))[
            gateway.StateKind.SERVERS
        ]
        return (
            listing.is_whole,
            {item.name for item in listing.items if item.is_valid},
            {item.name for item in listing.items if not item.is_valid},
        )

    def test_reader_gets_changes_after_its_revision(self) -> None:
        self.add(10, "a", "b", is_whole=True)
        self.add(20, "c", a=True)
        self.assertEqual(self.read(-1), (True, {"b", "c"}, set()))
        self.assertEqual(self.read(10), (False, {"c"}, {"a"}))
        self.assertEqual(self.log.read_after(_create_positions(20)), {})

    def test_second_whole_listing_is_read_as_changes(self) -> None:
        self.add(10, "a", "b", is_whole=True)
        same = _create_item("a", 10)
        new = _create_item("c", 30)
        self.log.add(
            gateway.StateKind.SERVERS,
            gateway.StateListing(items=(same, new), revision=30, is_whole=True),
        )
        self.assertEqual(self.read(10), (False, {"c"}, {"b"}))

    def test_older_listing_is_ignored(self) -> None:
        self.add(20, "a", is_whole=True)
        self.assertFalse(self.add(15, "b", is_whole=True))
        self.assertFalse(self.add(19, a=True))
        self.assertEqual(self.read(-1), (True, {"a"}, set()))

    def test_state_of_a_later_era_is_read_as_a_whole(self) -> None:
        kind = gateway.StateKind.SERVERS
        self.add(20, "a", is_whole=True)
        for era, is_whole, is_added in (
            (1, False, False),
            (1, True, True),
            (0, True, False),
        ):
            listing = gateway.StateListing(
                items=(_create_item("b", 9),),
                revision=9,
                era=era,
                is_whole=is_whole,
            )
            self.assertEqual(self.log.add(kind, listing), is_added)
        for positions in (
            {},
            _create_positions(20),
            _create_positions(5),
            _create_positions(9),
        ):
            listing = self.log.read_after(positions)[kind]
            self.assertTrue(listing.is_whole)
            self.assertEqual([item.name for item in listing.items], ["b"])
        self.assertEqual(self.log.read_after(_create_positions(9, 1)), {})
        self.assertEqual(self.log.read_after(_create_positions(1, 2)), {})

    def test_purged_deletions_require_a_whole_listing(self) -> None:
        self.add(10, "a", is_whole=True)
        for number in range(1_001):
            name = f"s-{number}"
            self.add(11 + 2 * number, name)
            self.add(12 + 2 * number, **{name: True})
        self.assertEqual(self.read(10), (True, {"a"}, set()))


def _create_item(name: str, sequence: int) -> gateway.StateItem:
    server = attrs.evolve(_SERVER, instance_id=name, sequence=sequence)
    return gateway.StateItem(name=name, is_valid=True, server=server)


if __name__ == "__main__":
    unittest.main()
