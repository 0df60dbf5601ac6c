"""Tests of suspects and of the permits to send them."""

import unittest

import cowslipvalve_base as base
import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_MINUTE_MS = 60_000.0
_INTERVAL_MS = 1_500.0
_HOSTS = {
    name: gateway.HostRecord(name=name, domain="a", state_address=name)
    for name in ("h0", "h1", "h2")
}


class SuspectListTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.suspects = gateway.create_suspect_list(self.clock)

    def test_entries_of_other_hosts_keep_their_age(self) -> None:
        self.suspects.add_all((gateway.SuspectEntry(fingerprint="a"),))
        self.clock.advance(6 * _MINUTE_MS)
        other = gateway.create_suspect_list(self.clock)
        other.add_all(self.suspects.list_entries())
        self.assertTrue("a" in other)
        self.clock.advance(5 * _MINUTE_MS)
        self.assertFalse("a" in other)
        self.assertFalse("a" in self.suspects)

    def test_suspects_are_bounded_against_any_number_of_requests(self) -> None:
        self.suspects.add_all(
            gateway.SuspectEntry(fingerprint=str(n)) for n in range(5_000)
        )
        self.assertLess(len(self.suspects.list_entries()), 100)
        self.assertTrue("4999" in self.suspects)

    def test_short_suspicions_do_not_drop_proven_suspects(self) -> None:
        self.suspects.add_all((gateway.SuspectEntry(fingerprint="proven"),))
        self.suspects.add_all(
            gateway.SuspectEntry(fingerprint=str(n), remaining_ms=15_000.0)
            for n in range(5_000)
        )
        self.assertTrue("proven" in self.suspects)


class _Client:
    """Passes reports on to the permits of other hosts, unless they are down."""

    def __init__(self) -> None:
        self.permits: dict[str, gateway.CanaryPermits] = {}
        self.is_down = False

    async def report(
        self, address: str, report: gateway.CrashReport, _: float
    ) -> gateway.QuarantineList:
        """Returns the reply of a host."""
        if self.is_down:
            raise gateway.HostUnavailableError("down", step="", peer=address)
        for fingerprint in report.cleared:
            self.permits[address].quarantine.answered.add(fingerprint)
        for fingerprint in report.unsent:
            self.permits[address].revoke(fingerprint)
        permit = gateway.Permit.GRANTED
        if report.canary:
            permit = self.permits[address].grant(report.canary)
        return gateway.QuarantineList(entries=(), permit=permit)


class CanaryPermitsTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.client = _Client()
        for own in _HOSTS.values():
            catalog = gateway.create_catalog(self.clock, {})
            catalog.set_hosts(_HOSTS)
            client: gateway.CrashReportClient = self.client  # type: ignore[assignment]
            self.client.permits[own.name] = gateway.create_canary_permits(
                own,
                catalog,
                self.clock,
                gateway.create_quarantine(self.clock),
                client,
            )

    async def ask_all(self) -> list[str]:
        """Returns the permits that the hosts get for one suspect."""
        permits = self.client.permits.values()
        return sorted([(await permit.ask("a")).value for permit in permits])

    async def test_one_host_of_all_may_send_a_suspect_at_a_time(self) -> None:
        for _ in range(3):
            permits = await self.ask_all()
            self.assertEqual(permits, ["denied", "denied", "granted"])
            self.clock.advance(_INTERVAL_MS)

    async def test_permit_of_a_suspect_that_was_not_sent_goes_to_the_next(
        self,
    ) -> None:
        self.assertEqual(await self.ask_all(), ["denied", "denied", "granted"])
        await self.client.permits["h1"].give_back("a", age_ms=100.0)
        self.assertEqual(await self.ask_all(), ["denied", "denied", "granted"])

    async def test_permit_that_is_returned_late_revokes_no_other(self) -> None:
        await self.ask_all()
        self.clock.advance(_INTERVAL_MS)
        await self.ask_all()
        await self.client.permits["h1"].give_back("a", age_ms=_INTERVAL_MS)
        self.assertEqual(await self.ask_all(), ["denied"] * 3)

    async def test_suspect_that_was_answered_needs_no_permit(self) -> None:
        await self.client.permits["h1"].clear("a")
        self.client.permits["h1"].quarantine.answered.add("a")
        self.assertEqual(await self.ask_all(), ["cleared"] * 3)

    async def test_host_that_reaches_no_other_gives_itself_permits(
        self,
    ) -> None:
        self.client.is_down = True
        self.assertEqual(await self.ask_all(), ["granted"] * 3)
        self.assertEqual(await self.ask_all(), ["denied"] * 3)


class MessageTest(unittest.TestCase):

    def test_messages_of_earlier_versions_permit_and_accuse_nobody(
        self,
    ) -> None:
        reply = base.decode(gateway.QuarantineList, b'{"entries": []}')
        self.assertIs(reply.permit, gateway.Permit.GRANTED)
        self.assertEqual(reply.suspects, ())
        report = base.decode(gateway.CrashReport, b'{"host": "h0"}')
        self.assertEqual((report.canary, report.cleared), ("", ()))
        self.assertEqual((report.suspects, report.unsent), ((), ()))


if __name__ == "__main__":
    unittest.main()
