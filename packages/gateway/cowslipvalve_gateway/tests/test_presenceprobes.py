"""Tests of how hosts find out which others are present."""

import unittest
from collections.abc import Iterable
from unittest import mock

import cowslipvalve_base as base
import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _presenceprobes
from cowslipvalve_gateway import _watcherchoices
from cowslipvalve_standins import _clocks

_HOSTS = {
    f"h{number}": gateway.HostRecord(
        name=f"h{number}",
        domain="abc"[number % 3],
        state_address=f"h{number}",
    )
    for number in range(9)
}
_DETECTION_ROUNDS = 5  # Of 1.5 s; a failed host may be noticed in a later one.
_MINUTE_ROUNDS = 40


def _rank(domain: str) -> list[str]:
    """Returns the hosts of a domain in the order in which they watch."""
    return [h.name for h in _watcherchoices.rank_hosts(_HOSTS, domain)]


class _Network:
    """Answers the probes of hosts, and their calls to the store.

    Attributes:
      silent: The addresses that do not answer.
      probes: How many probes were sent.
      unregistered: The names of the records that were removed.
      is_store_away: Whether the store fails.
    """

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.probes = 0
        self.unregistered: list[str] = []
        self.is_store_away = False

    async def fetch_age(
        self, address: str, _timeout_ms: float
    ) -> gateway.StateMessage:
        self.probes += 1
        if address in self.silent:
            raise gateway.HostUnavailableError("silent", step="fetch-state")
        return gateway.StateMessage(
            is_watching=False, age_ms=0.0, grace_ms=0.0, updates=()
        )

    async def unregister_host(self, name: str) -> None:
        if self.is_store_away:
            raise base.PlatformError("away", step="unregister")
        self.unregistered.append(name)


class _ProbingTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self) -> None:
        self.network = _Network()
        self.clock = _clocks.create_manual_clock()

    def create(self, own: str) -> _presenceprobes.PresenceProbing:
        """Creates the probing of a host; it watches if it is its turn."""
        catalog = gateway.create_catalog(
            self.clock, {}, presence=gateway.create_host_presence(own)
        )
        catalog.set_hosts(_HOSTS)
        self.catalog = catalog
        self.replica = gateway.create_state_replica(catalog, self.clock)
        self.replica.is_watching = own == _rank(_HOSTS[own].domain)[0]
        self.replica.confirmed_ms = self.clock.now_ms()
        sources = mock.Mock(hosts=self.network, store=self.network)
        return gateway.create_presence_probing(
            sources, self.replica, _HOSTS[own], self.clock
        )

    async def run_rounds(
        self, probing: _presenceprobes.PresenceProbing, count: int
    ) -> None:
        for _ in range(count):
            await probing.run_round()


class PresenceProbingTest(_ProbingTest):

    def find_first_watchers(self) -> set[str]:
        return _watcherchoices.choose_first_watchers(self.catalog.present_hosts)

    async def test_second_host_takes_the_place_of_a_lost_watcher(self) -> None:
        first, second, _ = _rank("a")
        probing = self.create(second)
        self.network.silent = {first}
        await self.run_rounds(probing, _DETECTION_ROUNDS)
        choice = gateway.create_watcher_choice(_HOSTS[second], (), {})
        self.assertTrue(choice.is_watcher(self.catalog.present_hosts))

    async def test_watcher_learns_who_replaces_those_of_other_domains(
        self,
    ) -> None:
        probing = self.create(_rank("a")[0])
        self.network.silent = {_rank("b")[0], *_rank("c")[:2]}
        await self.run_rounds(probing, _DETECTION_ROUNDS)
        self.assertEqual(
            self.find_first_watchers(),
            {_rank("a")[0], _rank("b")[1], _rank("c")[2]},
        )

    async def test_domain_that_is_silent_has_no_watcher(self) -> None:
        probing = self.create(_rank("a")[0])
        self.network.silent = set(_rank("b"))
        await self.run_rounds(probing, _DETECTION_ROUNDS)
        self.assertEqual(
            self.find_first_watchers(), {_rank("a")[0], _rank("c")[0]}
        )

    async def test_host_that_answers_again_gets_its_duties_back(self) -> None:
        probing = self.create(_rank("a")[0])
        self.network.silent = {_rank("b")[0]}
        await self.run_rounds(probing, _DETECTION_ROUNDS)
        self.network.silent = set()
        await self.run_rounds(probing, 1)
        self.assertIn(_rank("b")[0], self.find_first_watchers())

    async def test_host_that_misses_two_probes_keeps_its_duties(self) -> None:
        probing = self.create(_rank("a")[0])
        for _ in range(3):
            self.network.silent = {_rank("b")[0]}
            await self.run_rounds(probing, 2)
            self.network.silent = set()
            await self.run_rounds(probing, 1)
            self.assertIn(_rank("b")[0], self.find_first_watchers())

    async def test_other_hosts_probe_nobody_and_adopt(self) -> None:
        probing = self.create(_rank("a")[2])
        await self.run_rounds(probing, _DETECTION_ROUNDS)
        self.assertEqual(self.network.probes, 0)
        cases: tuple[Iterable[str], ...] = (_rank("a")[:2], ("h9", "x"), ())
        for absent in cases:
            self.catalog.presence.adopt(absent)
            self.assertEqual(
                self.catalog.presence.list_absent(), tuple(sorted(absent))
            )

    async def test_host_that_observes_does_not_adopt(self) -> None:
        probing = self.create(_rank("a")[0])
        await self.run_rounds(probing, 1)
        self.catalog.presence.adopt(_rank("b"))
        self.assertEqual(self.catalog.presence.list_absent(), ())

    async def test_last_host_of_a_domain_observes_once_it_is_first(
        self,
    ) -> None:
        probing = self.create(_rank("a")[2])
        self.catalog.presence.adopt(_rank("a")[:2])
        self.network.silent = set(_rank("a")[:2])
        await self.run_rounds(probing, 1)
        self.assertGreater(self.network.probes, 0)
        self.assertIn(_rank("a")[2], self.find_first_watchers())

    async def test_own_host_is_never_absent(self) -> None:
        own = _rank("a")[2]
        self.create(own)
        self.catalog.presence.adopt(_rank("a"))
        self.assertIn(own, self.catalog.present_hosts)


class LostHostRemovalTest(_ProbingTest):

    async def test_record_of_a_lost_host_is_removed_after_a_minute(
        self,
    ) -> None:
        for lost in _rank("a")[1:]:
            with self.subTest(lost):
                self.network = _Network()
                probing = self.create(_rank("a")[0])
                self.network.silent = {lost}
                await self.run_rounds(probing, _MINUTE_ROUNDS - 1)
                self.assertEqual(self.network.unregistered, [])
                await self.run_rounds(probing, 4)
                self.assertEqual(self.network.unregistered, [lost])

    async def test_host_that_registers_again_is_lost_anew(self) -> None:
        probing = self.create(_rank("a")[0])
        self.network.silent = {_rank("a")[1]}
        await self.run_rounds(probing, 2 * _MINUTE_ROUNDS - 1)
        self.assertEqual(len(self.network.unregistered), 1)

    async def test_record_stays_if_the_store_fails(self) -> None:
        probing = self.create(_rank("a")[0])
        self.network.silent = {_rank("a")[1]}
        self.network.is_store_away = True
        await self.run_rounds(probing, _MINUTE_ROUNDS + 4)
        self.network.is_store_away = False
        await self.run_rounds(probing, 1)
        self.assertEqual(self.network.unregistered, [_rank("a")[1]])

    async def test_record_stays_if_the_state_is_old(self) -> None:
        probing = self.create(_rank("a")[0])
        self.network.silent = {_rank("a")[1]}
        self.clock.advance(10_000.0)
        await self.run_rounds(probing, _MINUTE_ROUNDS + 4)
        self.assertEqual(self.network.unregistered, [])

    async def test_records_of_another_domain_stay(self) -> None:
        # It may be cut off, and goes on by its shares of all limits.
        probing = self.create(_rank("a")[0])
        self.network.silent = set(_rank("b"))
        await self.run_rounds(probing, 2 * _MINUTE_ROUNDS)
        self.assertEqual(self.network.unregistered, [])

    async def test_records_stay_if_no_host_answers(self) -> None:
        # This host may be cut off itself.
        own = _rank("a")[0]
        probing = self.create(own)
        self.network.silent = _HOSTS.keys() - {own}
        await self.run_rounds(probing, 2 * _MINUTE_ROUNDS)
        self.assertEqual(self.network.unregistered, [])

    async def test_one_host_of_a_domain_removes_records(self) -> None:
        probing = self.create(_rank("a")[1])
        self.network.silent = {_rank("a")[2]}
        self.replica.is_watching = True
        await self.run_rounds(probing, 2 * _MINUTE_ROUNDS)
        self.assertEqual(self.network.unregistered, [])


if __name__ == "__main__":
    unittest.main()
