"""Tests of the requests of this host to a cold server."""

import unittest

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

_SERVICE = "orders"
_SERVER = gateway.Server(
    instance_id="i-0",
    service=_SERVICE,
    address="127.0.0.1:1",
    domain="a",
    state=gateway.ServerState.READY,
    slots=2,
    cold_ms=120_000.0,
)


class ColdRateTest(unittest.TestCase):

    def test_host_without_a_share_sends_nothing(self) -> None:
        # A rate of 0 once meant that there was no bound.
        clock = _clocks.create_manual_clock()
        catalog = gateway.create_catalog(clock, {})
        catalog.put_server(_SERVER)
        view = catalog.find_server(_SERVER.instance_id)
        assert view is not None
        self.assertTrue(view.may_send(catalog.cold_rate(_SERVICE)))
        for _ in range(100):
            self.assertFalse(view.may_send(0.0))
            clock.advance(100.0)
