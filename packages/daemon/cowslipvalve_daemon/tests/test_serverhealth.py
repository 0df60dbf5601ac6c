"""Tests of the health of a backend server."""

import unittest

import cowslipvalve_model as model
from cowslipvalve_daemon import _serverhealth
from cowslipvalve_standins import _clocks


class ServerHealthTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = _clocks.create_manual_clock()
        self.health = _serverhealth.create_server_health(self.clock)

    def test_draining_expires_unless_it_is_reported_again(self) -> None:
        self.health.mark_draining()
        self.assertIs(self.health.reason, model.Reason.DRAINING)
        self.clock.advance(6_000)
        self.assertIs(self.health.reason, model.Reason.NONE)

    def test_consecutive_failures_make_the_server_unreachable(self) -> None:
        self.assertFalse(self.health.record_failure())
        self.health.record_success()
        self.assertFalse(self.health.record_failure())
        self.assertFalse(self.health.record_failure())
        self.assertTrue(self.health.record_failure())
        self.assertIs(self.health.reason, model.Reason.UNREACHABLE)

    def test_only_a_changed_boot_id_is_a_restart(self) -> None:
        self.assertFalse(self.health.update_boot_id("a"))
        self.assertFalse(self.health.update_boot_id("a"))
        self.assertTrue(self.health.update_boot_id("b"))

    def test_body_block_expires_or_is_removed(self) -> None:
        self.health.block_body("body")
        self.assertTrue(self.health.is_body_blocked("body"))
        self.clock.advance(61_000)
        self.assertFalse(self.health.is_body_blocked("body"))
        self.health.block_body("body")
        self.health.unblock_body("body")
        self.assertFalse(self.health.is_body_blocked("body"))
