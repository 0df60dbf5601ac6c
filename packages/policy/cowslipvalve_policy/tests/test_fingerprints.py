"""Tests of fingerprints and of the evidence against request bodies."""

import unittest

import cowslipvalve_policy as policy


class CrashRecordTest(unittest.TestCase):
    # The case, the lost connections as the server and whether the body ran
    # alone, and whether they prove that the body crashes servers.
    cases: tuple[tuple[str, tuple[tuple[str, bool], ...], bool], ...] = (
        ("one loss alone", (("a", True),), False),
        ("two losses beside others", (("a", False), ("b", False)), False),
        ("second loss alone", (("a", False), ("b", True)), True),
        ("first loss alone", (("a", True), ("b", False)), True),
        ("one server twice", (("a", True), ("a", True)), False),
    )

    def test_evidence_that_proves_a_crash(self) -> None:
        for name, losses, proven in self.cases:
            with self.subTest(name):
                record = policy.create_crash_record()
                for server, alone in losses:
                    evidence = record.add("body", server, alone)
                self.assertEqual(evidence.is_proven, proven)

    def test_answer_clears_a_suspect(self) -> None:
        record = policy.create_crash_record()
        record.add("body", "a", False)
        record.clear("body")
        self.assertFalse(record.add("body", "b", True).is_proven)


class FingerprintTest(unittest.TestCase):

    def test_order_of_keys_does_not_matter(self) -> None:
        one = policy.compute_fingerprint("s", {"a": 1, "b": 2})
        other = policy.compute_fingerprint("s", {"b": 2, "a": 1})
        self.assertEqual(one, other)
        self.assertNotEqual(one, policy.compute_fingerprint("t", {"a": 1}))

    def test_harmless_bodies_evict_the_least_recently_added(self) -> None:
        harmless = policy.create_harmless_bodies(2)
        for name in ("a", "b", "a", "c"):
            harmless.add(name)
        self.assertTrue("a" in harmless)
        self.assertFalse("b" in harmless)


class RendezvousTest(unittest.TestCase):

    def test_removal_of_a_name_moves_only_its_keys(self) -> None:
        names = [f"host-{number}" for number in range(8)]
        for key in (f"server-{number}" for number in range(100)):
            first, second, *_ = policy.rank_names(names, key)
            others = [name for name in names if name != first]
            self.assertEqual(policy.choose_name(names, key), first)
            self.assertEqual(policy.choose_name(others, key), second)
