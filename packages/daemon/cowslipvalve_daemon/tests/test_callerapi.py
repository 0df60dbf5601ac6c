"""Tests of requests that callers send."""

import unittest
from unittest import mock

import aiohttp
from aiohttp import web

import cowslipvalve_model as model
from cowslipvalve_daemon import _callerapi
from cowslipvalve_daemon import _entries
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _orders
from cowslipvalve_daemon import _settings

# How deep the messages between hosts can hold a query and an order.
_MAX_QUERY_DEPTH = 251
_MAX_ORDER_DEPTH = 252
_SNAPSHOT = model.Snapshot("prices", 1, 1)
_FAILURE = model.NotRunError(
    "in place of an answer", reason=model.Reason.NO_SERVER, step="run"
)


class DepthTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        self.coordinator = mock.create_autospec(
            _entries.SearchCoordinator, instance=True
        )
        self.coordinator.run.side_effect = _FAILURE
        self.orders = mock.create_autospec(_orders.Orders, instance=True)
        self.orders.run.side_effect = _FAILURE
        address = "127.0.0.1:1"
        api = _callerapi.create_caller_api(
            _settings.Settings(
                host="kuopio-1",
                failure_domain="kuopio",
                caller_address=address,
                peer_address=address,
                operations_address=address,
                platform_url=f"http://{address}",
            ),
            self.coordinator,
            self.orders,
            mock.create_autospec(_metrics.Metrics, instance=True),
        )
        runner = web.AppRunner(
            api.create_app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        _, port = runner.addresses[0][:2]
        self.url = f"http://127.0.0.1:{port}/v1/searches/prices"
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def post(self, path: str, text: str) -> tuple[int, str]:
        """Posts a request; returns the status and the answer's text."""
        async with self.session.post(f"{self.url}/{path}", data=text) as reply:
            return reply.status, await reply.text()

    async def test_body_that_no_message_can_hold_is_not_run(self) -> None:
        for path, name, most in (
            ("query", "query", _MAX_QUERY_DEPTH),
            ("orders", "order", _MAX_ORDER_DEPTH),
        ):
            for depth in (*range(most + 1, most + 5), 1_000):
                with self.subTest(name, depth=depth):
                    status, text = await self.post(path, _nest(name, depth))
                    self.assertEqual(status, 400, text)
                    self.assertIn("less deep", text)
        self.coordinator.run.assert_not_awaited()
        self.orders.run.assert_not_awaited()

    async def test_deep_body_that_messages_can_hold_is_run(self) -> None:
        status, text = await self.post(
            "query", _nest("query", _MAX_QUERY_DEPTH)
        )
        self.assertEqual(status, 503, text)
        request = self.coordinator.run.await_args.args[1]
        query = model.HomeQuery(
            query_id="1",
            request_id="r1",
            snapshot=_SNAPSHOT,
            fingerprint="f0",
            body=request.query,
            remaining_ms=1_000.0,
            top_hits=1,
            targets=(),
        )
        batch = model.encode(model.QueryBatch("entry", (query,)))
        decoded = model.decode(model.QueryBatch, batch)
        self.assertEqual(decoded.queries[0].body, request.query)
        status, text = await self.post(
            "orders", _nest("order", _MAX_ORDER_DEPTH)
        )
        self.assertEqual(status, 503, text)
        order = self.orders.run.await_args.args[1]
        model.encode(model.ForwardedOrder("r1", "prices", order))


def _nest(name: str, depth: int) -> str:
    """Returns a request with an object that is nested to a depth."""
    lists = "[" * (depth - 1) + "]" * (depth - 1)
    return f'{{"{name}": {{"text": {lists}}}}}'


if __name__ == "__main__":
    unittest.main()
