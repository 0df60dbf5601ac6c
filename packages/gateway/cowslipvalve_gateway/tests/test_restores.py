"""Tests of what hosts go by after a restore of the store."""

import unittest

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_AFTER_REPAIR_MS = 10_001.0
_SERVERS = gateway.StateKind.SERVERS
_DOMAINS = gateway.StateKind.DOMAINS_OUT
_HOSTS = gateway.StateKind.HOSTS


def _create_server(
    sequence: int, state: gateway.ServerState = gateway.ServerState.READY
) -> gateway.StateItem:
    return gateway.StateItem(
        name="i-0",
        is_valid=True,
        server=gateway.Server(
            instance_id="i-0",
            service="orders",
            address="127.0.0.1:1",
            domain="a",
            state=state,
            slots=2,
            sequence=sequence,
        ),
    )


def _create_host(name: str) -> gateway.StateItem:
    record = gateway.HostRecord(name=name, domain="a", state_address=name)
    return gateway.StateItem(name=name, is_valid=True, host=record)


class RestoreTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.catalog = gateway.create_catalog(self.clock, {})
        self.replica = gateway.create_state_replica(self.catalog, self.clock)
        self.revision = 100

    def list_all(
        self, kind: gateway.StateKind, era: int, *items: gateway.StateItem
    ) -> bool:
        """Applies a whole listing of an era."""
        revision = self.revision - 10 * era
        listing = gateway.StateListing(
            items=items, revision=revision, is_whole=True, era=era
        )
        return self.replica.apply_listing(kind, listing)

    def delete(self, kind: gateway.StateKind, name: str, era: int) -> None:
        """Applies the deletion of an object."""
        item = gateway.StateItem(name=name, is_valid=False)
        listing = gateway.StateListing(
            items=(item,),
            revision=self.revision - 10 * era + 1,
            is_whole=False,
            era=era,
        )
        self.replica.apply_listing(kind, listing)

    def end_repair(self) -> None:
        self.clock.advance(_AFTER_REPAIR_MS)
        self.replica.end_repairs()
        self.catalog.remove_lapsed()

    def test_registration_that_was_deleted_stays_away_for_a_while(self) -> None:
        self.list_all(_SERVERS, 1, _create_server(5))
        self.delete(_SERVERS, "i-0", 1)
        self.list_all(_SERVERS, 2, _create_server(5))
        self.assertEqual(self.catalog.count_servers(), 0)
        # The store removes it in that time unless the server lives.
        self.end_repair()
        self.assertEqual(self.catalog.count_servers(), 1)

    def test_registration_written_again_is_used_at_once(self) -> None:
        self.list_all(_SERVERS, 1, _create_server(5))
        self.delete(_SERVERS, "i-0", 1)
        self.list_all(_SERVERS, 2, _create_server(6))
        self.assertEqual(self.catalog.count_servers(), 1)

    def test_older_registration_changes_nothing(self) -> None:
        draining = _create_server(5, gateway.ServerState.DRAINING)
        self.list_all(_SERVERS, 1, draining)
        self.list_all(_SERVERS, 2, _create_server(4))
        view = self.catalog.find_server("i-0")
        assert view is not None
        self.assertIs(view.server.state, gateway.ServerState.DRAINING)

    def test_second_restore_keeps_what_the_first_one_took_back(self) -> None:
        out = gateway.StateItem(name="a", is_valid=True)
        self.list_all(_DOMAINS, 1, out)
        self.list_all(_DOMAINS, 2)
        self.list_all(_DOMAINS, 3)
        self.assertEqual(self.catalog.domains_out, {"a"})
        self.end_repair()
        self.assertEqual(self.catalog.domains_out, frozenset())

    def test_domain_that_is_back_is_out_while_the_copy_says_so(self) -> None:
        out = gateway.StateItem(name="a", is_valid=True)
        self.list_all(_DOMAINS, 1, out)
        self.delete(_DOMAINS, "a", 1)
        self.list_all(_DOMAINS, 2, out)
        self.assertEqual(self.catalog.domains_out, {"a"})

    def test_hosts_are_those_known_before(self) -> None:
        self.list_all(_HOSTS, 1, _create_host("left"), _create_host("stays"))
        self.delete(_HOSTS, "left", 1)
        self.list_all(_HOSTS, 2, _create_host("left"), _create_host("new"))
        self.assertEqual(set(self.catalog.hosts), {"stays", "new"})

    def test_late_listing_of_the_era_before_is_refused(self) -> None:
        self.list_all(_SERVERS, 2, _create_server(5))
        self.assertFalse(self.list_all(_SERVERS, 1))
        self.assertEqual(self.catalog.count_servers(), 1)

    def test_listing_without_an_era_is_ordered_by_revision(self) -> None:
        self.list_all(_SERVERS, 2, _create_server(5))
        for revision, is_applied in ((79, False), (80, True), (81, True)):
            listing = gateway.StateListing(
                items=(), revision=revision, is_whole=False
            )
            self.assertEqual(
                self.replica.apply_listing(_SERVERS, listing), is_applied
            )


if __name__ == "__main__":
    unittest.main()
