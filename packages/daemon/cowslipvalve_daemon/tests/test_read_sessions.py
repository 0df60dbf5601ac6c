"""Session tests of read requests while servers misbehave."""

import asyncio
from typing import Any

import cowslipvalve_model as model
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _sessions

_RECOVERY_S = 1.2  # Homes read the state of their servers twice a second.


def _create_holding(number: int, count: int, index: int) -> dict[str, Any]:
    snapshot = model.Snapshot("price-lists", number, count)
    plain: dict[str, Any] = model.to_plain(model.Holding(snapshot, (index,)))
    return plain


class CoverageTest(_sessions.SessionTest):
    """An answer holds exactly the shards that its coverage reports.

    Each fault is injected into one replica of a shard, then into both. Hits of
    a wrong or truncated reply must not enter an answer, and a shard without a
    good reply must be reported as missing.

    The faults take turns at the hosts. Each host has a budget of retries and
    hedges, which the requests of all faults together use up, and a late shard
    without a budget is rightly reported instead of hedged.
    """

    faults: tuple[dict[str, Any], ...] = (
        {"wrong_shard": True},
        {"cut_hits": True},
        {"cut_text": True},
        {"crossed": True},
        {"lose": "after"},
        {"lose": "before"},
        {"shed": True},
        {"straggle_ms": 3_000.0},
        {"hang": True},
    )
    no_faults: dict[str, Any] = {
        "wrong_shard": False,
        "cut_hits": False,
        "cut_text": False,
        "crossed": False,
        "lose": "",
        "shed": False,
        "straggle_ms": 0.0,
        "hang": False,
    }

    async def test_faulty_shard_is_answered_by_replica_or_reported(
        self,
    ) -> None:
        deployment = await self.start()
        for number, fault in enumerate(self.faults):
            with self.subTest(fault=fault):
                await self._check_fault(deployment, number, fault)

    async def _check_fault(
        self,
        deployment: _deployments.Deployment,
        number: int,
        fault: dict[str, Any],
    ) -> None:
        first, second = "price-lists-0-a", "price-lists-0-b"
        hosts = tuple(deployment.hosts)
        host = hosts[number % len(hosts)]
        await deployment.put_server(first, "/faults", fault)
        text = f"one {number}"
        _, answer = await deployment.query(host, self.search, text)
        self.assert_answer(answer, text, [])
        await deployment.put_server(second, "/faults", fault)
        text = f"both {number}"
        _, answer = await deployment.query(host, self.search, text)
        self.assert_answer(answer, text, [0])
        for name in (first, second):
            await deployment.put_server(name, "/faults", self.no_faults)
        await asyncio.sleep(_RECOVERY_S)
        await deployment.wait_until_ready(search=self.search)


class SnapshotTest(_sessions.SessionTest):
    """Every answer comes from a single snapshot while the data changes."""

    async def test_snapshot_and_shard_count_change_under_load(self) -> None:
        deployment = await self.start()
        plan = self.plan(
            deployment, counts={1: 4, 2: 4, 3: 2}, duration_ms=7_000.0
        )
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        await asyncio.sleep(1.0)
        # Snapshot 2 reaches the servers one by one. Snapshot 3 has half as
        # many shards and replaces snapshot 2.
        await self._publish(deployment, 2, 4, keep_old=True)
        await asyncio.sleep(1.5)
        await self._publish(deployment, 3, 2, keep_old=False)
        result = await load
        self.assert_no_wrong_answers(result)
        self.assertEqual(set(result.snapshots), {1, 2, 3})
        self.assertEqual(dict(result.failures), {})

    async def _publish(
        self,
        deployment: _deployments.Deployment,
        number: int,
        count: int,
        keep_old: bool,
    ) -> None:
        for index in range(self.shards):
            for replica in "ab":
                holdings = [_create_holding(number, count, index % count)]
                if keep_old:
                    holdings.append(
                        _create_holding(number - 1, self.shards, index)
                    )
                name = f"price-lists-{index}-{replica}"
                await deployment.put_server(name, "/holdings", holdings)
                await asyncio.sleep(0.1)


class CrashingRequestTest(_sessions.SessionTest):
    """A request that crashes servers is quarantined after two crashes.

    Callers resend a failed request through any host. Without the quarantine
    each resend would crash further servers.
    """

    async def test_resends_crash_two_servers_and_fail_no_other_request(
        self,
    ) -> None:
        deployment = await self.start()
        await _sessions.set_faults(deployment, {"crash_on": "poison"})
        plan = self.plan(deployment, texts=20)
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        await asyncio.sleep(0.5)
        answers = []
        for host in (*deployment.hosts, *deployment.hosts):
            answers.append(
                await deployment.query(host, self.search, "poison pill")
            )
        concurrent = [
            deployment.query(host, self.search, "poison pill")
            for host in deployment.hosts
        ]
        answers.extend(await asyncio.gather(*concurrent))
        result = await load
        crashes = await _sessions.sum_counter(deployment, "crashes")
        self.assertLessEqual(crashes, 2)
        self.assertGreater(crashes, 0)
        for status, answer in answers[1:]:
            self.assertEqual(status, 503, answer)
            self.assertEqual(answer["reason"], "quarantined")
        self.assert_no_wrong_answers(result)
        self.assertEqual(dict(result.failures), {})

    async def test_concurrent_requests_crash_two_servers(self) -> None:
        deployment = await self.start()
        await _sessions.set_faults(deployment, {"crash_on": "poison"})
        concurrent = [
            deployment.query(host, self.search, "poison pill")
            for host in deployment.hosts
        ]
        for status, answer in await asyncio.gather(*concurrent):
            self.assertNotEqual(status, 200, answer)
        crashes = await _sessions.sum_counter(deployment, "crashes")
        self.assertLessEqual(crashes, 2)
        status, answer = await deployment.query(
            "kuopio-1", self.search, "harmless"
        )
        self.assertEqual(status, 200)
        self.assert_answer(answer, "harmless", [])

    async def test_lost_answers_quarantine_no_request(self) -> None:
        deployment = await self.start()
        await _sessions.set_faults(deployment, {"lose": "after"})
        for host in deployment.hosts:
            status, answer = await deployment.query(
                host, self.search, "unlucky", deadlineMs=500
            )
            self.assertNotEqual(status, 200, answer)
        await _sessions.set_faults(deployment, {"lose": ""})
        await asyncio.sleep(_RECOVERY_S)
        for host in deployment.hosts:
            status, answer = await deployment.query(
                host, self.search, "unlucky"
            )
            self.assertEqual(status, 200, answer)
            self.assert_answer(answer, "unlucky", [])
