"""Tests that calls to the platform and to servers end when cancelled."""

import unittest

import aiohttp

import cowslipvalve_backend as backend
import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_daemon import _orderdispatchers
from cowslipvalve_standins import _cancellations

_TIMEOUT_MS = _cancellations.TIMEOUT_MS


class CancellationTest(unittest.IsolatedAsyncioTestCase):

    async def test_cancellation_is_not_taken_for_the_time_out(self) -> None:
        async with (
            _cancellations.serve_silently() as address,
            aiohttp.ClientSession() as session,
        ):
            url = f"http://{address}"
            platform = store.create_platform_client(session, url, _TIMEOUT_MS)
            server = backend.ServerClient(session, "i-0", address)
            calls = {
                "platform": lambda: platform.list("searches"),
                "server": lambda: server.query(
                    model.ServerBatch(()), _TIMEOUT_MS
                ),
                "order": lambda: _orderdispatchers.post_order(
                    session, url, {}, _TIMEOUT_MS, model.HomeOrderReply
                ),
            }
            await _cancellations.check_calls(self, calls)


if __name__ == "__main__":
    unittest.main()
