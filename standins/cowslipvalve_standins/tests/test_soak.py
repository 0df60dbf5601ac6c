"""The soak finds what is broken, and some seeds of it run with the tests.

Seeds that ever failed are kept here, with a line on the cause.
"""

import pathlib
import random
import tempfile
import unittest
from typing import Any

import attrs

from cowslipvalve_standins import _soakcallers
from cowslipvalve_standins import _soakchecks
from cowslipvalve_standins import _soakfaults
from cowslipvalve_standins import _soakdeployments
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import soak

_CALL = _soakcallers.Call(
    request_id="r1",
    route="write",
    host="kuopio-0",
    sent_ms=1_000.0,
    took_ms=20.0,
    status=200,
    headers={},
    body=b"",
    error="",
)


def _create_request(
    request_id: str, path: str = "/all/1", read_ms: float = 0.0
) -> _wireserver.SeenRequest:
    return _wireserver.SeenRequest(
        line=f"GET {path} HTTP/1.1",
        headers={"request-id": request_id},
        body=b"",
        read_ms=read_ms,
    )


class ChecksTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        """Starts servers without hosts."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.deployment = _soakdeployments.SoakDeployment(pathlib.Path(folder))
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.configure()
        self.shard_servers = [
            await self.deployment.add_server(service, "kuopio")
            for service in self.deployment.shard_services
        ]
        self.unsharded_server = await self.deployment.add_server(
            _soakdeployments.UNSHARDED_SERVICE, "kuopio"
        )

    def check(self, **fields: Any) -> str:
        call = attrs.evolve(_CALL, **fields)
        return "; ".join(_soakchecks.check_calls(self.deployment, [call]))

    def issue_proof(
        self, server: _soakdeployments.SoakServer, request_id: str
    ) -> str:
        """Returns a proof that a server gave for a request."""
        proof = f"{server.wire_server.instance_id}.{request_id}"
        server.wire_server.proofs[proof] = request_id
        return proof

    def test_order_that_ran_twice_or_was_refused_falsely_is_found(self) -> None:
        run = _create_request("r1", "/write/1")
        self.unsharded_server.wire_server.seen.append(run)
        self.assertIn("refused with 503", self.check(status=503))
        self.assertEqual(self.check(status=502), "")
        self.unsharded_server.wire_server.seen.append(run)
        self.assertIn("ran 2 times", self.check(status=502))

    def test_answer_of_another_request_is_found(self) -> None:
        body = b"".join(self.unsharded_server.wire_server.records)
        good = {"Server-Stamp": self.issue_proof(self.unsharded_server, "r1")}
        other = {"Server-Stamp": self.issue_proof(self.unsharded_server, "r2")}
        self.assertEqual(self.check(headers=good, body=body), "")
        for headers, wrong in ((other, body), (good, body[1:]), ({}, body)):
            found = self.check(headers=headers, body=wrong)
            self.assertIn("not that of", found)

    def test_merged_answer_that_hides_something_is_found(self) -> None:
        records = sorted(
            (
                r
                for shard in self.shard_servers
                for r in shard.wire_server.records
            ),
            reverse=True,
        )
        proofs = [self.issue_proof(shard, "r1") for shard in self.shard_servers]
        best = b"".join(records[: _soakdeployments.TOP_K])
        two = b"".join(self.shard_servers[1].wire_server.records[::-1])[
            : len(best)
        ]
        # The proofs, the parts said to be missing, the body, what is wrong.
        cases = (
            (proofs, 0, best, ""),
            (proofs[:2], 2, two, ""),
            (proofs, 0, best[:-16], "not the greatest"),
            (proofs[:3], 0, best, "3 parts and 0 missing"),
            (proofs[:1], 3, best, "only 1 parts"),
            ([*proofs[:3], proofs[0]], 0, best, "not of that many shards"),
            ([*proofs[:3], "i-99.r1"], 0, best, "not of that many shards"),
        )
        for parts, missing, body, wrong in cases:
            with self.subTest(wrong, missing=missing):
                headers = {
                    "Part-Stamps": ", ".join(parts),
                    "Missing-Parts": str(missing),
                }
                found = self.check(route="all", headers=headers, body=body)
                self.assertIn(wrong, found)
                self.assertEqual(bool(found), bool(wrong))

    def test_request_at_a_wrong_service_is_found(self) -> None:
        self.unsharded_server.wire_server.seen.append(
            _create_request("r1", "/all/1")
        )
        [found] = _soakchecks.check_servers(self.deployment)
        self.assertIn("orders got", found)

    def test_too_many_repeats_in_any_window_are_found(self) -> None:
        # The time between two arrivals in ms, and whether 70 are too many.
        for pause_ms, is_broken in ((100.0, True), (400.0, False)):
            with self.subTest(pause_ms):
                self.shard_servers[0].wire_server.seen = [
                    _create_request("r1", read_ms=pause_ms * number)
                    for number in range(70)
                ]
                found = list(_soakchecks.check_servers(self.deployment))
                self.assertEqual(bool(found), is_broken)

    def test_failure_in_calm_is_found(self) -> None:
        # The call, whether it is a fault.
        cases: tuple[tuple[dict[str, Any], bool], ...] = (
            ({"status": 200}, False),
            ({"status": 503}, True),
            ({"status": 0, "error": "reset"}, True),
            ({"status": 0, "host": "leaving"}, False),
            ({"status": 503, "host": "leaving"}, True),
            ({"status": 503, "sent_ms": 10.0}, False),
        )
        for fields, is_broken in cases:
            with self.subTest(fields):
                call = attrs.evolve(_CALL, **fields)
                found = _soakchecks.check_calls_after_faults(
                    [call], 500.0, "leaving"
                )
                self.assertEqual(bool(list(found)), is_broken)


class SoakTest(unittest.IsolatedAsyncioTestCase):

    # No seed has failed yet; the two that run were the first ones.
    seeds = (1, 2)

    async def test_seeds_break_no_promise(self) -> None:
        for seed in self.seeds:
            with (
                self.subTest(seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                result = await soak.run_seed(seed, pathlib.Path(folder))
                self.assertEqual(result.violations, ())
                self.assertGreater(result.served, result.calls / 2)

    def test_schedule_follows_from_its_seed(self) -> None:
        first, second = (
            _soakfaults.draw_faults(random.Random(7), 10, 5.0) for _ in range(2)
        )
        self.assertEqual(first, second)
