"""Tests of the choice of a snapshot."""

import unittest

import cowslipvalve_model as model
import cowslipvalve_policy as policy

# The case, the shards by server, each as snapshot number, shard count and shard
# index, and the number of the snapshot to choose.
_CASES: tuple[tuple[str, dict[str, list[tuple[int, int, int]]], int], ...] = (
    ("whole", {"a": [(1, 2, 0)], "b": [(1, 2, 1)]}, 1),
    ("newest whole", {"a": [(1, 1, 0), (2, 1, 0)]}, 2),
    (
        "older one while the newest lacks shards",
        {"a": [(1, 1, 0), (2, 2, 0)]},
        1,
    ),
    ("best coverage", {"a": [(1, 4, 0), (2, 4, 0)], "b": [(1, 4, 1)]}, 1),
    ("newer of equal coverage", {"a": [(1, 2, 0), (2, 2, 0)]}, 2),
    ("changed shard count", {"a": [(1, 2, 0)], "b": [(2, 1, 0)]}, 2),
)


def _create_record(
    server: str, held: list[tuple[int, int, int]]
) -> model.ServerRecord:
    holdings = tuple(
        model.Holding(model.Snapshot("s", number, count), (index,))
        for number, count, index in held
    )
    return model.ServerRecord(
        server=server,
        home="home",
        incarnation=1,
        condition=model.ServerCondition.SERVING,
        holdings=holdings,
    )


class SnapshotChoiceTest(unittest.TestCase):

    def test_newest_of_best_coverage_is_chosen(self) -> None:
        for name, held, number in _CASES:
            with self.subTest(name):
                records = [_create_record(*item) for item in held.items()]
                views = policy.collect_snapshots("s", records)
                chosen = policy.choose_snapshot(views)
                assert chosen is not None
                self.assertEqual(chosen.snapshot.number, number)

    def test_shards_out_of_range_do_not_count(self) -> None:
        record = _create_record("a", [(1, 2, 0), (1, 2, 7), (1, 2, -1)])
        view = policy.collect_snapshots("s", [record])[0]
        self.assertEqual(view.coverage, 0.5)

    def test_newer_than_excludes_its_own_number(self) -> None:
        views = policy.collect_snapshots(
            "s", [_create_record("a", [(1, 1, 0)])]
        )
        self.assertIsNone(policy.choose_snapshot(views, newer_than=1))
