"""Sessions of callers' read requests under faults of the servers."""

import asyncio
from typing import Any

import cowslipvalve_model as model
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _sessions

_SETTLE_S = 1.2  # The homes read their servers' state twice a second.


def _holding(number: int, count: int, index: int) -> dict[str, Any]:
    snapshot = model.Snapshot("price-lists", number, count)
    plain: dict[str, Any] = model.to_plain(model.Holding(snapshot, (index,)))
    return plain


class CoverageTest(_sessions.SessionTest):
    """An answer holds just what it says, whatever a server does."""

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
    repaired: dict[str, Any] = {
        "wrong_shard": False,
        "cut_hits": False,
        "cut_text": False,
        "crossed": False,
        "lose": "",
        "shed": False,
        "straggle_ms": 0.0,
        "hang": False,
    }

    async def test_faulty_replicas_are_made_up_for_or_reported(self) -> None:
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
        one, both = "price-lists-0-a", "price-lists-0-b"
        await deployment.put_server(one, "/faults", fault)
        text = f"one {number}"
        _, answer = await deployment.query("kuopio-1", self.search, text)
        self.assert_answer(answer, text, [])
        await deployment.put_server(both, "/faults", fault)
        text = f"both {number}"
        _, answer = await deployment.query("kuopio-1", self.search, text)
        self.assert_answer(answer, text, [0])
        for name in (one, both):
            await deployment.put_server(name, "/faults", self.repaired)
        await asyncio.sleep(_SETTLE_S)
        await deployment.wait_until_ready(search=self.search)


class SnapshotTest(_sessions.SessionTest):
    """Every answer comes from one snapshot while the data changes."""

    async def test_repartition_under_running_queries(self) -> None:
        deployment = await self.start()
        plan = self.plan(
            deployment, counts={1: 4, 2: 4, 3: 2}, duration_ms=7_000.0
        )
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        await asyncio.sleep(1.0)
        # Version 2 arrives server by server; version 3 has half the shards.
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
                holdings = [_holding(number, count, index % count)]
                if keep_old:
                    holdings.append(_holding(number - 1, self.shards, index))
                name = f"price-lists-{index}-{replica}"
                await deployment.put_server(name, "/holdings", holdings)
                await asyncio.sleep(0.1)


class CrashingRequestTest(_sessions.SessionTest):
    """A request that crashes servers is stopped after two of them."""

    async def test_resends_crash_two_servers_and_no_neighbour_suffers(
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
        at_once = [
            deployment.query(host, self.search, "poison pill")
            for host in deployment.hosts
        ]
        answers.extend(await asyncio.gather(*at_once))
        result = await load
        crashes = await _sessions.sum_counter(deployment, "crashes")
        self.assertLessEqual(crashes, 2)
        self.assertGreater(crashes, 0)
        for status, answer in answers[1:]:
            self.assertEqual(status, 503, answer)
            self.assertEqual(answer["reason"], "quarantined")
        self.assert_no_wrong_answers(result)
        self.assertEqual(dict(result.failures), {})

    async def test_resends_at_once_crash_two_servers(self) -> None:
        deployment = await self.start()
        await _sessions.set_faults(deployment, {"crash_on": "poison"})
        at_once = [
            deployment.query(host, self.search, "poison pill")
            for host in deployment.hosts
        ]
        for status, answer in await asyncio.gather(*at_once):
            self.assertNotEqual(status, 200, answer)
        crashes = await _sessions.sum_counter(deployment, "crashes")
        self.assertLessEqual(crashes, 2)
        status, answer = await deployment.query(
            "kuopio-1", self.search, "harmless"
        )
        self.assertEqual(status, 200)
        self.assert_answer(answer, "harmless", [])
