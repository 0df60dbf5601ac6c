"""Tests of placement changes by operators in a running deployment."""

import asyncio
from typing import Any

import attrs

import cowslipvalve_model as model
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _placements
from cowslipvalve_standins import _sessions

# The time within which a domain or server that is placed out gets no new work.
_NO_WORK_WITHIN_S = 3.0
# A server's warm-up starts at 10 queries/s and doubles every 500 ms, so that it
# reaches the full rate of 160 after 2 s. The tests wait for twice that time,
# since a replica in warm-up may refuse the load of the other replica.
_WARM_UP_S = 4.0
_DOMAIN = "seinajoki"
_OTHER_HOST = "rovaniemi-1"
_UNREACHABLE_URL = "http://127.0.0.1:9"  # Discard port; nothing listens on it.


class DomainOutTest(_sessions.SessionTest):
    """A failure domain that is out gets no new work; the others serve on."""

    async def test_domain_goes_out_and_back_in_under_load(self) -> None:
        deployment = await self.start()
        others = tuple(h for h in deployment.hosts if _DOMAIN not in h)
        load = asyncio.ensure_future(
            _sessions.run_load(
                deployment,
                self.plan(deployment, hosts=others, duration_ms=12_000.0),
            )
        )
        await asyncio.sleep(_WARM_UP_S)
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "out"
        )
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        before = await _sessions.sum_counter(deployment, "queries", _DOMAIN)
        await asyncio.sleep(1.5)
        after = await _sessions.sum_counter(deployment, "queries", _DOMAIN)
        self.assertEqual(after, before)
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "in"
        )
        result = await load
        self.assert_no_wrong_answers(result)
        self.assertEqual(dict(result.failures), {})
        self.assertEqual(result.mean_coverage, 1.0, result.incomplete)
        returned = await _sessions.sum_counter(deployment, "queries", _DOMAIN)
        self.assertGreater(returned, after)

    async def test_platform_fails_just_after_the_write(self) -> None:
        deployment = await self.start()
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "out"
        )
        # By now the watchers have seen the write, but the configuration is not
        # committed yet.
        await asyncio.sleep(0.02)
        await deployment.put_platform_faults(away=True)
        await self._check_no_work(deployment, _DOMAIN)

    async def test_placement_takes_effect_although_its_event_was_lost(
        self,
    ) -> None:
        deployment = await self.start()
        await deployment.put_platform_faults(omits_events=True)
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "out"
        )
        await asyncio.sleep(1.0)
        await deployment.put_platform_faults(omits_events=False)
        # Watchers list all resources again after 10 s.
        await asyncio.sleep(10.0)
        await self._check_no_work(deployment, _DOMAIN)

    async def test_host_without_platform_learns_the_placement(self) -> None:
        deployment = await self.start()
        await deployment.kill_host(_OTHER_HOST)
        await deployment.start_host(_OTHER_HOST, platformUrl=_UNREACHABLE_URL)
        await deployment.wait_until_ready((_OTHER_HOST,), self.search)
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "out"
        )
        await self._check_no_work(deployment, _DOMAIN, (_OTHER_HOST,))

    async def _check_no_work(
        self,
        deployment: _deployments.Deployment,
        domain: str,
        hosts: tuple[str, ...] = (),
    ) -> None:
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        before = await _sessions.sum_counter(deployment, "queries", domain)
        for host in hosts or deployment.hosts:
            for number in range(10):
                text = f"{host} {number}"
                status, answer = await deployment.query(host, self.search, text)
                self.assertEqual(status, 200, answer)
                self.assert_answer(answer, text, [])
        after = await _sessions.sum_counter(deployment, "queries", domain)
        self.assertEqual(after, before)


class ServerOutTest(_sessions.SessionTest):
    """A server that is out or draining gets no new work."""

    async def test_server_whose_placement_is_out_gets_no_work(self) -> None:
        deployment = await self.start()
        await _sessions.run_load(
            deployment, self.plan(deployment, duration_ms=_WARM_UP_S * 1_000)
        )
        name = "price-lists-1-a"
        await _placements.write_placement(
            deployment, "BackendServer", name, "out"
        )
        await self._check_no_work(deployment, name)

    async def test_server_that_drains_is_believed_despite_its_state(
        self,
    ) -> None:
        deployment = await self.start()
        await _sessions.run_load(
            deployment, self.plan(deployment, duration_ms=_WARM_UP_S * 1_000)
        )
        name = "price-lists-1-a"
        faults: dict[str, Any] = {"draining": True, "lies": True}
        await deployment.put_server(name, "/faults", faults)
        result = await _sessions.run_load(
            deployment,
            self.plan(deployment, duration_ms=_NO_WORK_WITHIN_S * 1_000),
        )
        self.assert_no_wrong_answers(result)
        self.assertEqual(result.mean_coverage, 1.0, result.incomplete)
        await self._check_no_work(deployment, name)

    async def _check_no_work(
        self, deployment: _deployments.Deployment, name: str
    ) -> None:
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        before = await deployment.server_stats(name)
        result = await _sessions.run_load(deployment, self.plan(deployment))
        self.assert_no_wrong_answers(result)
        warm_ups = _sessions.read_events(
            deployment, "warm-up", "price-lists-1-b"
        )
        self.assertEqual(
            result.mean_coverage, 1.0, (result.incomplete, warm_ups)
        )
        after = await deployment.server_stats(name)
        self.assertEqual(after["queries"], before["queries"])


class ConfigurationTest(_sessions.SessionTest):
    """An accepted configuration takes effect on all hosts and stays."""

    async def test_host_restarted_in_an_outage_gets_it_from_a_peer(
        self,
    ) -> None:
        deployment = await self.start()
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "out"
        )
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        await deployment.put_platform_faults(away=True)
        await deployment.kill_host(_OTHER_HOST)
        await deployment.start_host(_OTHER_HOST)
        await deployment.wait_until_ready((_OTHER_HOST,), self.search)
        numbers = await self._read_numbers(deployment)
        self.assertEqual(set(numbers.values()), {2}, numbers)

    async def test_concurrent_writes_lost_answers_and_an_invalid_resource(
        self,
    ) -> None:
        deployment = await self.start()
        await deployment.put_platform_faults(lost_answers=2)
        names = [f"price-lists-{index}-a" for index in range(self.shards)]
        writes = [
            _placements.write_placement(
                deployment, "BackendServer", name, "out"
            )
            for name in names
        ]
        await asyncio.gather(*writes, return_exceptions=True)
        search = await deployment.client.get("Search", self.search)
        invalid = {**search.spec, "minCoverage": 7}
        await deployment.client.update(attrs.evolve(search, spec=invalid))
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        numbers = await self._read_numbers(deployment)
        self.assertEqual(len(set(numbers.values())), 1, numbers)
        status, answer = await deployment.query("kuopio-1", self.search, "x")
        self.assertEqual(status, 200)
        self.assert_answer(answer, "x", [])
        await self._check_statuses(deployment, names)

    async def _check_statuses(
        self, deployment: _deployments.Deployment, names: list[str]
    ) -> None:
        search = await deployment.client.get("Search", self.search)
        self.assertEqual(search.status["conditions"][0]["status"], "False")
        self.assertIn("minCoverage", search.status["conditions"][0]["message"])
        for name in names:
            server = await deployment.client.get("BackendServer", name)
            self.assertEqual(server.status["state"], "out", name)

    async def test_numbers_never_decrease(self) -> None:
        deployment = await self.start()
        highest: dict[str, int] = {}
        for number in range(6):
            placement = "out" if number % 2 == 0 else "in"
            await _placements.write_placement(
                deployment, "BackendServer", "price-lists-0-a", placement
            )
            if number == 2:
                await deployment.kill_host(_OTHER_HOST)
                await deployment.start_host(_OTHER_HOST)
                highest.pop(_OTHER_HOST)
            for _ in range(5):
                await asyncio.sleep(0.1)
                numbers = await self._read_numbers(deployment)
                for host, seen in numbers.items():
                    self.assertGreaterEqual(seen, highest.get(host, 0))
                    highest[host] = seen
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        numbers = await self._read_numbers(deployment)
        self.assertEqual(len(set(numbers.values())), 1, numbers)

    async def _read_numbers(
        self, deployment: _deployments.Deployment
    ) -> dict[str, int]:
        """Returns the configuration number of each host that answers."""
        numbers = {}
        for host in deployment.hosts:
            delta = await deployment.read_configuration(host)
            if delta is not None:
                numbers[host] = delta.number
        return numbers


class WholeSessionTest(_sessions.SessionTest):
    """Transcript of queries, orders, a placement change and the audit."""

    async def test_session(self) -> None:
        deployment = await self.start()
        transcript = _sessions.Transcript()
        await self._add_queries(deployment, transcript)
        await self._add_orders(deployment, transcript)
        await self._add_placement_change(deployment, transcript)
        transcript.verify()

    async def _add_queries(
        self,
        deployment: _deployments.Deployment,
        transcript: _sessions.Transcript,
    ) -> None:
        path = f"/v1/searches/{self.search}/query"
        bodies: tuple[Any, ...] = (
            {"query": {"text": "elk"}},
            {"query": {"text": "hare"}, "items": ["hare-2", "hare-7"]},
            {"query": "elk"},
            {"query": {}, "deadlineMs": "soon"},
            {"query": {}, "deadlineMs": 0},
            {"quest": {}},
            ["elk"],
            {"query": {"text": "x" * 70_000}},
        )
        for body in bodies:
            transcript.add_input(f"POST {path} {str(body)[:80]}")
            status, answer = await deployment.post("kuopio-1", path, body)
            transcript.add_output(f"status {status}")
            transcript.add_output(answer)
        transcript.add_input("POST /v1/searches/none/query")
        _, answer = await deployment.query("kuopio-1", "none", "elk")
        transcript.add_output(answer)
        faults: dict[str, Any] = {"wrong_shard": True}
        for name in ("price-lists-3-a", "price-lists-3-b"):
            transcript.add_input(f"fault of {name}: {faults}")
            await deployment.put_server(name, "/faults", faults)
        _, answer = await deployment.query("kuopio-1", self.search, "lost")
        transcript.add_output(answer["coverage"])
        for name in ("price-lists-3-a", "price-lists-3-b"):
            await deployment.put_server(name, "/faults", {"wrong_shard": False})

    async def _add_orders(
        self,
        deployment: _deployments.Deployment,
        transcript: _sessions.Transcript,
    ) -> None:
        for search, guard in (("orders", "ticket"), ("weighings", "key")):
            value = "weighing-1"
            if guard == "ticket":
                transcript.add_input(f"POST /v1/searches/{search}/tickets")
                _, ticket = await deployment.post(
                    "kuopio-1", f"/v1/searches/{search}/tickets", {}
                )
                transcript.add_output(ticket)
                value = ticket["ticket"]
            body = {"order": {"id": f"{search}-1"}, guard: value}
            for host in ("kuopio-1", "rovaniemi-1"):
                path = f"/v1/searches/{search}/orders"
                transcript.add_input(f"POST {path} to {host}")
                _, answer = await deployment.post(host, path, body)
                transcript.add_output(answer)
            runs = await _sessions.count_runs(deployment, f"{search}-1")
            transcript.add_output(f"runs: {runs}")

    async def _add_placement_change(
        self,
        deployment: _deployments.Deployment,
        transcript: _sessions.Transcript,
    ) -> None:
        transcript.add_input(f"write FailureDomain {_DOMAIN} placement out")
        await _placements.write_placement(
            deployment, "FailureDomain", _DOMAIN, "out"
        )
        await asyncio.sleep(_NO_WORK_WITHIN_S)
        for name in ("kuopio", "rovaniemi", _DOMAIN):
            item = await deployment.client.get("FailureDomain", name)
            transcript.add_output({name: item.status})
        item = await deployment.client.get("Search", self.search)
        transcript.add_output({self.search: item.status})
        listed = await deployment.client.list("AuditRecord")
        for record in listed.items:
            change = model.from_plain(model.ConfigurationChange, record.spec)
            transcript.add_output(
                f"audit {change.number} {change.operator} {change.kind}"
                f" {change.name}: {change.before and 'changed' or 'new'}"
            )
