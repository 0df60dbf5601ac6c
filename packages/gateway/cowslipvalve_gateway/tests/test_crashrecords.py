"""Tests of the decision which requests end servers."""

import unittest
from typing import Any

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_MINUTE_MS = 60_000.0


@attrs.frozen
class _Case:
    """Ends of servers: time in ms, server, service, suspects."""

    name: str
    ends: tuple[tuple[float, str, str, str], ...]
    convicted: tuple[str, ...]
    # The fingerprint and the service of each answer.
    answers: tuple[tuple[str, str], ...] = ()


_CASES = (
    _Case(
        "three ends apart from each other",
        ((0, "s1", "x", "a"), (1_100, "s2", "x", "a"), (9_000, "s1", "x", "a")),
        ("a",),
    ),
    _Case(
        "a domain's servers end together",
        tuple((50.0 * n, f"s{n}", f"x{n % 3}", "a b") for n in range(19)),
        (),
    ),
    _Case(
        "a request that ran beside it twice and alone never",
        (
            (0, "s1", "x", "a b"),
            (2_000, "s2", "x", "a b"),
            (4_000, "s3", "x", "a"),
        ),
        ("a",),
    ),
    _Case(
        "a request that ran beside it three times of four",
        (
            (0, "s1", "x", "a b"),
            (2_000, "s2", "x", "a b"),
            (4_000, "s3", "x", "a b"),
            (6_000, "s4", "x", "a"),
        ),
        ("a",),
    ),
    _Case(
        "two requests that always ran together",
        tuple((2_000.0 * n, f"s{n}", "x", "a b") for n in range(4)),
        (),
    ),
    _Case(
        "two requests that ran together again and again",
        tuple((2_000.0 * n, f"s{n}", "x", "a b") for n in range(5)),
        ("a",),
    ),
    _Case(
        "an answer",
        tuple((2_000.0 * n, f"s{n}", "x", "a") for n in range(3)),
        (),
        (("a", "x"),),
    ),
    _Case(
        "an answer of another service",
        tuple((2_000.0 * n, f"s{n}", "x", "a") for n in range(3)),
        ("a",),
        (("a", "y"),),
    ),
    _Case(
        "several reports of two ends",
        (
            (0, "s1", "x", "a"),
            (200, "s1", "x", "a"),
            (5_000, "s2", "x", "a"),
            (5_400, "s2", "x", "a"),
        ),
        (),
    ),
)


@attrs.frozen
class _Wave:
    """Servers of shards that end together: the first, then the second ones."""

    name: str
    culprit: str | None
    # What runs on the first and on the second server of a shard, by shard.
    first: str = "ab a a ab a a ab a a a a a"
    second: str = "a a a"
    # Which of them are resent from the first to the second server.
    resent: str = "a b"
    answered: str = ""


_WAVES = (
    _Wave("one request on all servers, resent to some", "a"),
    _Wave("no request was resent", None, resent=""),
    _Wave("too few were resent", None, second="a a"),
    _Wave(
        "two requests on all servers", None, first="ab " * 6, second="ab ab ab"
    ),
    _Wave("servers on which it did not run", None, first="a a b b c c b a"),
    _Wave("a service has answered it", None, answered="a"),
)


class CrashRecordTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.record = gateway.create_crash_record(self.clock)

    def add_end(
        self, server: str, service: str, suspects: str, canaries: str = ""
    ) -> None:
        """Adds an end that a host reports at once."""
        self.record.add_end(
            gateway.ServerEnd(
                server=server,
                service=service,
                age_ms=0.0,
                suspects=tuple(suspects.split()),
                canaries=tuple(canaries.split()),
            )
        )

    def find_convicted(self) -> tuple[str, ...]:
        """Returns the fingerprints of the convicted requests."""
        return tuple(e.fingerprint for e in self.record.find_convicted())

    def add_wave(self, wave: _Wave) -> None:
        """Adds the ends of a wave."""
        for replica, shards in enumerate((wave.first, wave.second)):
            for number, suspects in enumerate(shards.split()):
                resent = set(suspects) & set(wave.resent) if replica else set()
                self.record.add_end(
                    gateway.ServerEnd(
                        server=f"s{number}-{replica}",
                        service=f"x{number}",
                        age_ms=100.0 - 30.0 * replica,
                        suspects=tuple(suspects),
                        resent=tuple(resent),
                    )
                )

    def test_request_that_explains_a_wave_of_ends_is_found_at_once(
        self,
    ) -> None:
        for wave in _WAVES:
            with self.subTest(wave.name):
                self.setUp()
                self.add_end("s", "other", "b")
                self.clock.advance(10_000.0)
                self.add_wave(wave)
                for fingerprint in wave.answered:
                    self.record.exonerate(
                        gateway.Exoneration(
                            fingerprint=fingerprint, service="x0"
                        )
                    )
                found = self.record.find_wave()
                assert found is not None
                culprit = found.fingerprint if found.is_explained else None
                self.assertEqual(culprit, wave.culprit)

    def test_requests_are_convicted_by_their_own_evidence(self) -> None:
        for case in _CASES:
            with self.subTest(case.name):
                self.setUp()
                passed_ms = 0.0
                for at_ms, server, service, suspects in case.ends:
                    self.clock.advance(at_ms - passed_ms)
                    passed_ms = at_ms
                    self.add_end(server, service, suspects)
                for fingerprint, service in case.answers:
                    self.record.exonerate(
                        gateway.Exoneration(
                            fingerprint=fingerprint, service=service
                        )
                    )
                self.assertEqual(self.find_convicted(), case.convicted)

    def test_suspect_that_ends_the_one_server_it_is_sent_to_is_convicted(
        self,
    ) -> None:
        cases = (
            ("a wave and a canary", "a a", "a", "a", ("a",)),
            ("a wave and another end", "a a", "a", "", ()),
            ("a canary, and another end before it", "a", "a", "a", ()),
            ("a canary that ran beside the other", "ab ab", "a b", "a", ()),
            ("a canary of one of two suspects", "ab ab", "b", "b", ("b",)),
        )
        for name, wave, last, canaries, convicted in cases:
            with self.subTest(name):
                self.setUp()
                for number, suspects in enumerate(wave.split()):
                    self.add_end(f"s{number}", "x", " ".join(suspects))
                self.clock.advance(2_000.0)
                self.add_end("s9", "x", last, canaries)
                self.assertEqual(self.find_convicted(), convicted)

    def test_request_that_ends_hundreds_of_servers_each_time_is_convicted(
        self,
    ) -> None:
        for _ in range(3):
            for number in range(360):
                self.add_end(f"s{number}", f"x{number}", "a")
            self.clock.advance(5_000.0)
        self.assertEqual(self.find_convicted(), ("a",))

    def test_ends_are_bounded_against_any_number_of_them(self) -> None:
        for number in range(20_000):
            suspects = " ".join(f"a{n}" for n in range(64))
            self.add_end(f"s{number}", "x", suspects)
        evidence = self.record.list_evidence([f"a{n}" for n in range(64)])
        self.assertLessEqual(sum(e.ends for e in evidence), 65_536)

    def test_service_that_answered_is_spared(self) -> None:
        for number in range(3):
            self.add_end(f"s{number}", "x", "a")
            self.clock.advance(2_000.0)
        self.record.exonerate(gateway.Exoneration(fingerprint="a", service="y"))
        (entry,) = self.record.find_convicted()
        self.assertEqual(entry.spared, ("y",))

    def test_evidence_is_bounded_against_any_number_of_requests(self) -> None:
        for number in range(20_000):
            self.add_end(f"s{number}", "x", f"a{number}")
        self.assertLess(len(self.record), 5_000)

    def test_evidence_outlives_a_quarantine(self) -> None:
        for number in range(2):
            self.add_end(f"s{number}", "x", "a")
            self.clock.advance(20 * _MINUTE_MS)
        self.add_end("s2", "x", "a")
        self.assertEqual(self.find_convicted(), ("a",))


class QuarantineTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.quarantine = gateway.create_quarantine(self.clock)

    def test_request_is_refused_for_a_while_except_at_spared_services(
        self,
    ) -> None:
        entry = gateway.QuarantineEntry(fingerprint="a", spared=("y",))
        self.assertEqual(self.quarantine.add_all((entry,)), ["a"])
        self.assertTrue(self.quarantine.blocks("a", "x"))
        self.assertFalse(self.quarantine.blocks("a", "y"))
        self.assertFalse(self.quarantine.blocks("b", "x"))
        self.clock.advance(11 * _MINUTE_MS)
        self.assertFalse(self.quarantine.blocks("a", "x"))

    def test_entries_of_other_hosts_keep_their_age(self) -> None:
        self.quarantine.add_all((gateway.QuarantineEntry(fingerprint="a"),))
        self.clock.advance(6 * _MINUTE_MS)
        other = gateway.create_quarantine(self.clock)
        other.add_all(self.quarantine.list_entries())
        self.clock.advance(5 * _MINUTE_MS)
        self.assertFalse(other.blocks("a", "x"))

    def test_request_that_was_answered_is_not_refused(self) -> None:
        self.quarantine.answered.add("a")
        entries = [gateway.QuarantineEntry(fingerprint=name) for name in "ab"]
        self.assertEqual(self.quarantine.add_all(entries), ["b"])
        self.assertFalse(self.quarantine.blocks("a", "x"))

    def test_quarantine_is_bounded_against_any_number_of_requests(
        self,
    ) -> None:
        self.quarantine.add_all(
            gateway.QuarantineEntry(fingerprint=str(n)) for n in range(5_000)
        )
        self.assertLess(len(self.quarantine.list_entries()), 500)


class FingerprintTest(unittest.TestCase):

    def create_request(self, **fields: Any) -> gateway.CallerRequest:
        """Creates a request; fields override defaults."""
        request = gateway.CallerRequest(
            request_id="r1",
            method="POST",
            host="search.example",
            target="/read/1",
            headers=(),
            body=b"body",
            received_ms=0.0,
            deadline_ms=1.0,
        )
        return attrs.evolve(request, **fields)

    def test_fingerprint_names_what_comes_again(self) -> None:
        first = gateway.compute_fingerprint(self.create_request())
        cases: tuple[tuple[bool, dict[str, Any]], ...] = (
            (True, {"request_id": "r2"}),
            (True, {"headers": (("X-Trace", "2"),), "received_ms": 9.0}),
            (False, {"body": b"bodY"}),
            (False, {"target": "/read/2"}),
            (False, {"account": "other"}),
            (False, {"target": "/read/", "account": "1"}),
        )
        for is_equal, fields in cases:
            with self.subTest(**fields):
                other = gateway.compute_fingerprint(
                    self.create_request(**fields)
                )
                self.assertEqual(other == first, is_equal)


if __name__ == "__main__":
    unittest.main()
