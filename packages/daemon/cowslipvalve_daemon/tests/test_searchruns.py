"""Tests of what a lost connection to a home tells about a request's body."""

import unittest
from unittest import mock

import aiohttp
from aiohttp import web

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _quarantines
from cowslipvalve_daemon import _querystreams
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _runstates
from cowslipvalve_daemon import _searchruns

_DEADLINE_MS = 1_000.0
_FINGERPRINT = "f0"
_HOMES = {"server-a": "home-a", "server-b": "home-b"}
_SEARCH = model.Search(metadata=model.Metadata(name="prices"))


class HomeLostTest(unittest.IsolatedAsyncioTestCase):
    """Each home closes its connection when it gets a query."""

    async def asyncSetUp(self) -> None:
        self.clock = model.create_clock()
        self.received = 0
        address = await self.start_home()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        memberships = mock.create_autospec(
            _memberships.Memberships, instance=True
        )
        memberships.host = "entry"
        memberships.find_host_record.side_effect = lambda name: (
            model.HostRecord(
                host=name,
                incarnation=1,
                failure_domain="kuopio",
                region="savo",
                address=address,
                state=model.HostState.LIVE,
            )
        )
        self.streams = _querystreams.create_query_streams(
            memberships, self.session, "http", self.clock
        )
        await self.streams.start()
        self.addAsyncCleanup(self.streams.stop)
        self.quarantine = _quarantines.create_quarantine(
            peers.create_record_table(),
            mock.create_autospec(_metrics.Metrics, instance=True),
            mock.AsyncMock(),
        )

    async def start_home(self) -> str:
        """Starts what stands for all homes; returns its address."""
        app = web.Application()
        app.router.add_get("/peer/queries", self.lose_connection)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        _, port = runner.addresses[0][:2]
        return f"127.0.0.1:{port}"

    async def lose_connection(self, request: web.Request) -> web.StreamResponse:
        """Reads one message and closes the connection."""
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        await socket.receive()
        self.received += 1
        await socket.close()
        return socket

    async def run_search(self) -> _searchruns.SearchRun:
        """Runs a request with a body that is not known to be harmless."""
        directory = mock.create_autospec(
            _replicas.ReplicaDirectory, instance=True
        )
        directory.find_replica.side_effect = _find_replica
        directory.choose.side_effect = lambda servers, excluded: next(
            (_find_replica(name) for name in servers if name not in excluded),
            None,
        )
        context = _runstates.SearchContext(
            clock=self.clock,
            directory=directory,
            streams=self.streams,
            quarantine=self.quarantine,
            budget=policy.create_extra_load_budget(1.0),
            latencies=policy.create_latency_window(self.clock, 50.0),
            count_attempts=lambda count, is_extra: None,
            count_failure=lambda reason: None,
        )
        snapshot = model.Snapshot("prices", 1, 1)
        run = _searchruns.SearchRun(
            context,
            _SEARCH,
            policy.SnapshotView(snapshot, {0: tuple(_HOMES)}),
            (0,),
            "r1",
            {"text": "harmless"},
            _FINGERPRINT,
            self.clock.now_ms() + _DEADLINE_MS,
        )
        await run.run()
        return run

    async def test_homes_that_go_away_prove_no_crash(self) -> None:
        run = await self.run_search()
        self.assertEqual(self.received, len(_HOMES))
        self.assertFalse(run.is_quarantined)
        self.assertFalse(self.quarantine.is_quarantined(_FINGERPRINT))
        self.assertTrue(run.may_have_run)

    async def test_body_that_was_answered_stays_harmless(self) -> None:
        self.quarantine.record_answer(_FINGERPRINT)
        await self.run_search()
        self.assertTrue(self.quarantine.is_harmless(_FINGERPRINT))

    async def test_request_goes_to_few_servers_whose_homes_go_away(
        self,
    ) -> None:
        with mock.patch.dict(_HOMES, {"server-c": "home-c"}):
            run = await self.run_search()
        self.assertEqual(self.received, 2)
        self.assertEqual(run.coverage.answered, 0)


def _find_replica(server: str) -> _replicas.Replica:
    return _replicas.Replica(server, _HOMES[server])


if __name__ == "__main__":
    unittest.main()
