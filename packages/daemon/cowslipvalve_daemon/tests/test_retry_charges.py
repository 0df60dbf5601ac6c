"""Tests of what the retries and hedges of a shard cost."""

import asyncio
import time
import unittest
from unittest import mock

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _quarantines
from cowslipvalve_daemon import _querystreams
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _runstates
from cowslipvalve_daemon import _searchruns

_DEADLINE_MS = 5_000.0
_HEDGE_DELAY_MS = 50.0
_TOKENS = 20  # Of a full budget.
_SEARCH = model.Search(
    metadata=model.Metadata(name="prices"),
    spec=model.SearchSpec(canary=False),
)
_SERVERS = ("server-a", "server-b")


class RetryChargeTest(unittest.IsolatedAsyncioTestCase):
    """One shard on two servers, each behind a home of its own."""

    async def asyncSetUp(self) -> None:
        self.sent: list[str] = []
        # Why the first attempts fail, None for one that stays silent. Later
        # ones are answered.
        self.failures: list[model.Reason | None] = []
        self.usable = set(_SERVERS)
        # The number of the attempt whose sending takes the hedge delay.
        self.busy_attempt = 0
        self.budget = policy.create_extra_load_budget(0.01)
        self.clock = model.create_clock()

    def send(
        self, query: model.HomeQuery, sink: _querystreams.PartialSink
    ) -> None:
        """Stands for a home, which answers each query as planned."""
        server = query.targets[0].server
        self.sent.append(server)
        failure = self.failures.pop(0) if self.failures else model.Reason.NONE
        if failure is None:
            return
        outcome = model.Outcome.UNKNOWN
        if failure is model.Reason.NONE:
            outcome = model.Outcome.ANSWERED
        result = model.ShardResult(0, server, outcome, failure)
        partial = model.PartialAnswer(query.query_id, query.snapshot, (result,))
        asyncio.get_running_loop().call_soon(sink.handle_partial, partial)
        if len(self.sent) == self.busy_attempt:
            time.sleep(model.to_seconds(_HEDGE_DELAY_MS))

    def choose(
        self, servers: tuple[str, ...], excluded: set[str]
    ) -> _replicas.Replica | None:
        """Returns the first usable server that is not excluded."""
        for name in servers:
            if name in self.usable and name not in excluded:
                return _replicas.Replica(name, f"home-of-{name}")
        return None

    async def run_search(
        self, deadline_ms: float = _DEADLINE_MS
    ) -> _searchruns.SearchRun:
        """Runs a request that needs the shard."""
        directory = mock.create_autospec(
            _replicas.ReplicaDirectory, instance=True
        )
        directory.choose.side_effect = self.choose
        stream = mock.create_autospec(_querystreams.QueryStream, instance=True)
        stream.send.side_effect = self.send
        streams = mock.create_autospec(
            _querystreams.QueryStreams, instance=True
        )
        streams.get.return_value = stream
        context = _runstates.SearchContext(
            clock=self.clock,
            directory=directory,
            streams=streams,
            quarantine=_quarantines.create_quarantine(
                peers.create_record_table(),
                mock.create_autospec(_metrics.Metrics, instance=True),
                mock.AsyncMock(),
            ),
            budget=self.budget,
            latencies=policy.create_latency_window(self.clock, _HEDGE_DELAY_MS),
            count_attempts=lambda count, is_extra: None,
            count_failure=lambda reason: None,
        )
        run = _searchruns.SearchRun(
            context,
            _SEARCH,
            policy.SnapshotView(model.Snapshot("prices", 1, 1), {0: _SERVERS}),
            (0,),
            "r1",
            {"text": "one"},
            "f0",
            self.clock.now_ms() + deadline_ms,
        )
        await run.run()
        return run

    def empty_budget(self) -> int:
        """Empties the budget; returns how many tokens were taken before."""
        return _TOKENS - self.budget.take(_TOKENS)

    async def test_shard_whose_servers_both_failed_gets_its_second_retry(
        self,
    ) -> None:
        self.failures = [model.Reason.MISMATCH] * 2
        run = await self.run_search()
        self.assertEqual(self.sent, ["server-a", "server-b", "server-a"])
        self.assertEqual(run.coverage.missing, ())
        self.assertEqual(self.empty_budget(), 2)

    async def test_shard_whose_attempts_all_fail_costs_two_tokens(
        self,
    ) -> None:
        self.failures = [model.Reason.MISMATCH] * 10
        run = await self.run_search()
        self.assertEqual(self.sent, ["server-a", "server-b", "server-a"])
        self.assertEqual(run.coverage.missing, (0,))
        self.assertEqual(self.empty_budget(), 2)

    async def test_answers_that_came_in_a_busy_turn_are_not_hedged(
        self,
    ) -> None:
        for failures, attempts in ((0, 1), (1, 2), (2, 3), (10, 3)):
            with self.subTest(failures=failures):
                self.sent.clear()
                self.failures = [model.Reason.MISMATCH] * failures
                self.busy_attempt = attempts
                await self.run_search()
                self.assertEqual(len(self.sent), attempts)

    async def test_body_that_a_server_ended_under_is_sent_to_it_once_more(
        self,
    ) -> None:
        self.failures = [model.Reason.CONNECTION_LOST] * 10
        self.usable = {"server-a"}
        run = await self.run_search()
        self.assertEqual(self.sent, ["server-a"] * 2)
        self.assertEqual(run.coverage.missing, (0,))

    async def test_retry_without_a_usable_server_costs_nothing_and_ends(
        self,
    ) -> None:
        self.failures = [model.Reason.MISMATCH] * 10
        self.usable = {"server-a"}
        asyncio.get_running_loop().call_soon(self.usable.clear)
        started_ms = self.clock.now_ms()
        run = await self.run_search()
        self.assertLess(self.clock.now_ms() - started_ms, _DEADLINE_MS)
        self.assertEqual(self.sent, ["server-a"])
        self.assertEqual(run.coverage.missing, (0,))
        self.assertEqual(self.empty_budget(), 0)

    async def test_late_shard_is_hedged_only_within_the_budget(self) -> None:
        self.failures = [None]
        run = await self.run_search()
        self.assertEqual(self.sent, ["server-a", "server-b"])
        self.assertEqual(run.coverage.missing, ())
        self.assertEqual(self.empty_budget(), 1)
        self.sent.clear()
        self.failures = [None]
        run = await self.run_search(10 * _HEDGE_DELAY_MS)
        self.assertEqual(self.sent, ["server-a"])
        self.assertEqual(run.coverage.missing, (0,))


if __name__ == "__main__":
    unittest.main()
