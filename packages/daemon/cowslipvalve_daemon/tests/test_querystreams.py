"""Tests of the connections on which hosts send queries and answers."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web

import cowslipvalve_model as model
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _heartbeats
from cowslipvalve_daemon import _homes
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _orders
from cowslipvalve_daemon import _peerapi
from cowslipvalve_daemon import _querystreams

_TIMEOUT_S = 3.0
_SNAPSHOT = model.Snapshot("prices", 1, 1)
_ODD = "odd"
# It can be decoded, but not encoded as a part of a message.
_TOO_DEEP = 253
# The stream gets the odd query and the failure of the connection in this time.
_ODD_QUERY_S = 0.3


class _Sink:
    """Keeps the results of one query."""

    def __init__(self) -> None:
        self.results: asyncio.Queue[model.ShardResult] = asyncio.Queue()

    def handle_partial(self, partial: model.PartialAnswer) -> None:
        """Keeps the results of a partial answer."""
        for result in partial.results:
            self.results.put_nowait(result)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        self.clock = model.create_clock()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        homes = mock.create_autospec(_homes.HomeService, instance=True)
        homes.run_query.side_effect = _answer
        api = _peerapi.create_peer_api(
            mock.create_autospec(_heartbeats.HeartbeatService, instance=True),
            mock.create_autospec(
                _configurations.ConfigurationHolder, instance=True
            ),
            homes,
            mock.create_autospec(_orders.Orders, instance=True),
            self.clock,
        )
        runner = web.AppRunner(
            api.create_app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        _, port = runner.addresses[0][:2]
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
                address=f"127.0.0.1:{port}",
                state=model.HostState.LIVE,
            )
        )
        streams = _querystreams.create_query_streams(
            memberships, self.session, "http", self.clock
        )
        await streams.start()
        self.addAsyncCleanup(streams.stop)
        self.stream = await streams.get("home")

    def send(self, query_id: str, body: Any) -> _Sink:
        """Sends a query for one shard; returns what gets its result."""
        sink = _Sink()
        self.stream.send(
            model.HomeQuery(
                query_id=query_id,
                request_id="r1",
                snapshot=_SNAPSHOT,
                fingerprint="f0",
                body=body,
                remaining_ms=1_000.0,
                top_hits=1,
                targets=(model.QueryTarget("server-a", (0,)),),
            ),
            sink,
        )
        return sink

    async def assert_answered(self, query_id: str) -> None:
        """Sends a usual query, which must be answered in time."""
        sink = self.send(query_id, {"text": "usual"})
        async with asyncio.timeout(_TIMEOUT_S):
            result = await sink.results.get()
        self.assertIs(result.outcome, model.Outcome.ANSWERED)

    async def check_odd_query(self, body: Any) -> None:
        """Checks that a query with an odd body stalls no later one."""
        await self.assert_answered("1")
        with self.assertLogs("cowslipvalve_daemon", "ERROR") as logs:
            odd = self.send("2", body)
            await asyncio.sleep(_ODD_QUERY_S)
            await self.assert_answered("3")
        result = odd.results.get_nowait()
        self.assertIs(result.outcome, model.Outcome.UNKNOWN)
        self.assertEqual(len(logs.output), 1, logs.output)
        self.assertIn("Recursion limit", logs.output[0])

    async def test_query_that_cannot_be_sent_stalls_no_later_one(self) -> None:
        await self.check_odd_query(_nest(_TOO_DEEP))

    async def test_answer_that_cannot_be_sent_stalls_no_later_one(self) -> None:
        await self.check_odd_query({"text": _ODD})


async def _answer(
    _: str,
    query: model.HomeQuery,
    emit: Callable[[model.PartialAnswer], None],
) -> None:
    """Answers a query in place of a server."""
    data = _nest(_TOO_DEEP) if query.body["text"] == _ODD else None
    emit(
        model.PartialAnswer(
            query.query_id,
            query.snapshot,
            (model.ShardResult(0, "server-a", model.Outcome.ANSWERED),),
            (model.Hit(id="d0", score=1.0, shard=0, data=data),),
        )
    )


def _nest(depth: int) -> Any:
    """Returns a list that is nested to a depth."""
    value: Any = []
    for _ in range(depth - 1):
        value = [value]
    return value


if __name__ == "__main__":
    unittest.main()
