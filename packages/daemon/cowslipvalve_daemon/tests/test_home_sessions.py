"""Session tests in which the homes of servers fail, stop or leave."""

import asyncio
import signal
from typing import Any

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _sessions
from cowslipvalve_standins import _shapes

_LOG_TAIL_CHARS = 4_000  # Of a host's log, in a failure message.
_HOME_TAKEOVER_S = 4.0  # A lease, a heartbeat and the warm-up at the new home.


async def find_home(deployment: _deployments.Deployment, server: str) -> str:
    """Returns the home in the status of a server, once there is one."""
    for _ in range(100):
        item = await deployment.client.get("BackendServer", server)
        if item.status.get("home"):
            return str(item.status["home"])
        await asyncio.sleep(0.1)
    raise TimeoutError(f"{server} got no home")


class HomeTest(_sessions.SessionTest):
    """Base of the tests that check the servers' slots and warm-up."""

    async def assert_never_overloaded(
        self, deployment: _deployments.Deployment
    ) -> None:
        """Checks that no server got more work than its limits allow."""
        for _, shape in deployment.shape.servers:
            stats = await deployment.server_stats(shape.name)
            self.assertEqual(stats["overruns"], 0, (shape.name, stats))
            self.assertEqual(stats["collapses"], 0, (shape.name, stats))
            self.assertEqual(stats["refused_connections"], 0, shape.name)


class ColdServerTest(HomeTest):
    """A cold server gets no more work than it can handle.

    One server crashes and restarts cold. Another one becomes cold without a
    restart, so that the slow answers are the only sign of it.
    """

    async def test_crash_and_cooling_without_restart_under_load(self) -> None:
        deployment = await self.start()
        load = asyncio.ensure_future(
            _sessions.run_load(
                deployment,
                self.plan(deployment, rate=80.0, duration_ms=8_000.0),
            )
        )
        await asyncio.sleep(1.5)
        await deployment.post_server("price-lists-0-a", "/crash")
        await asyncio.sleep(2.0)
        await deployment.post_server("price-lists-1-b", "/cool")
        result = await load
        self.assert_no_wrong_answers(result)
        self.assertEqual(dict(result.failures), {})
        stats = await deployment.server_stats("price-lists-0-a")
        self.assertEqual(stats["collapses"], 0, stats)


class RampTest(HomeTest):
    """The home of a server fails during the server's warm-up.

    With a long deadline and no hedges, requests keep waiting for the cold
    server while its home changes. The new home must not overload it.
    """

    def site(self) -> _shapes.SiteShape:
        return _shapes.create_haapaniemi(
            self.shards, self.host_count, {"deadlineMs": 9_000, "hedge": False}
        )

    async def test_home_is_killed_during_warm_up(self) -> None:
        await self._check_home_failure(signal.SIGKILL)

    async def test_home_is_paused_during_warm_up(self) -> None:
        await self._check_home_failure(signal.SIGSTOP)

    async def _check_home_failure(self, number: signal.Signals) -> None:
        deployment = await self.start()
        server = "price-lists-0-a"
        home = await find_home(deployment, server)
        hosts = tuple(h for h in deployment.hosts if h != home)
        plan = self.plan(
            deployment, hosts=hosts, rate=80.0, duration_ms=9_000.0
        )
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        await asyncio.sleep(1.0)
        await deployment.post_server(server, "/crash")
        await asyncio.sleep(0.5)
        deployment.send_signal(home, number)
        await asyncio.sleep(_HOME_TAKEOVER_S)
        if number is signal.SIGSTOP:
            deployment.send_signal(home, signal.SIGCONT)
        result = await load
        self.assert_no_wrong_answers(result)
        await self.assert_never_overloaded(deployment)
        self.assertNotEqual(await find_home(deployment, server), "")


class SlotTest(HomeTest):
    """The slot limits of servers hold exactly, whatever the number of hosts."""

    async def test_overload_is_refused_before_it_reaches_servers(self) -> None:
        deployment = await self.start()
        plan = self.plan(deployment, rate=400.0, duration_ms=4_000.0)
        result = await _sessions.run_load(deployment, plan)
        self.assert_no_wrong_answers(result)
        await self.assert_never_overloaded(deployment)
        for _, shape in deployment.shape.servers:
            stats = await deployment.server_stats(shape.name)
            self.assertLessEqual(stats["max_running"], shape.slots)

    async def test_hosts_are_killed_and_restarted_under_load(self) -> None:
        deployment = await self.start()
        hosts = ("kuopio-1", "rovaniemi-1")
        plan = self.plan(
            deployment, hosts=hosts, rate=80.0, duration_ms=12_000.0
        )
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        for name in ("seinajoki-1", "kuopio-2"):
            await asyncio.sleep(0.5)
            await deployment.kill_host(name)
            await deployment.start_host(name)
            await asyncio.sleep(_HOME_TAKEOVER_S)
        result = await load
        self.assert_no_wrong_answers(result)
        await self.assert_never_overloaded(deployment)


class ShutdownTest(HomeTest):
    """A graceful shutdown aborts no running request."""

    async def test_hosts_stop_under_load(self) -> None:
        deployment = await self.start()
        stopping = ("seinajoki-1", "kuopio-1")
        remaining = tuple(h for h in deployment.hosts if h not in stopping)
        plan = self.plan(deployment, hosts=remaining, duration_ms=7_000.0)
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        await asyncio.sleep(1.0)
        for name in stopping:
            deployment.send_signal(name, signal.SIGTERM)
            self.assertEqual(await deployment.wait_for_exit(name), 0)
        result = await load
        self.assert_no_wrong_answers(result)
        self.assertEqual(dict(result.failures), {})
        self.assertEqual(result.mean_coverage, 1.0)
        await self.assert_never_overloaded(deployment)

    async def test_host_finishes_long_request_before_it_exits(self) -> None:
        deployment = await self.start()
        for _, shape in deployment.shape.servers:
            faults: dict[str, Any] = {"straggle_ms": 2_500.0}
            await deployment.put_server(shape.name, "/faults", faults)
        running = asyncio.ensure_future(
            deployment.query("kuopio-1", self.search, "slow", deadlineMs=8_000)
        )
        await asyncio.sleep(0.3)
        deployment.send_signal("kuopio-1", signal.SIGTERM)
        status, answer = await running
        self.assertEqual(status, 200, answer)
        self.assert_answer(answer, "slow", [])
        status = await deployment.wait_for_exit("kuopio-1")
        log = deployment.log_path("kuopio-1").read_text()
        self.assertEqual(status, 0, log[-_LOG_TAIL_CHARS:])

    async def test_request_that_outlasts_the_drain_is_answered(self) -> None:
        limits = {"balancerWaitMs": 500, "drainMs": 1_500}
        deployment = await self.start(limits=limits)
        for _, shape in deployment.shape.servers:
            faults: dict[str, Any] = {"straggle_ms": 6_000.0}
            await deployment.put_server(shape.name, "/faults", faults)
        calls = [
            asyncio.ensure_future(call)
            for call in (
                deployment.query(
                    "kuopio-1", self.search, "slow", deadlineMs=8_000
                ),
                deployment.post(
                    "kuopio-1",
                    "/v1/searches/orders/orders",
                    {
                        "order": {"id": "slow"},
                        "ticket": await self._get_ticket(deployment),
                        "deadlineMs": 8_000,
                    },
                ),
            )
        ]
        await asyncio.sleep(0.3)
        deployment.send_signal("kuopio-1", signal.SIGTERM)
        for status, answer in await asyncio.gather(*calls):
            self.assertEqual(status, 504, answer)
            self.assertEqual(answer["outcome"], "unknown")
        self.assertEqual(await deployment.wait_for_exit("kuopio-1"), 0)

    async def _get_ticket(self, deployment: _deployments.Deployment) -> str:
        status, ticket = await deployment.post(
            "kuopio-1", "/v1/searches/orders/tickets", {}
        )
        self.assertEqual(status, 200, ticket)
        return str(ticket["ticket"])


class CutDomainTest(HomeTest):
    """A failure domain that is cut off still serves its own replicas.

    The test pauses the hosts of all other domains, so that none of them
    answers the hosts of this domain.
    """

    def site(self) -> _shapes.SiteShape:
        return _shapes.create_haapaniemi(
            3, 6, {"minCoverage": 0.1, "patienceMs": 300}
        )

    shards = 3

    async def test_cut_domain_loses_platform_and_host(self) -> None:
        deployment = await self.start()
        inside = ("seinajoki-1", "seinajoki-2")
        outside = [h for h in deployment.hosts if h not in inside]
        for name in outside:
            deployment.send_signal(name, signal.SIGSTOP)
        await deployment.put_platform_faults(away=True)
        await asyncio.sleep(1.0)
        await self._check_inside(deployment, inside[0])
        await deployment.kill_host(inside[1])
        await asyncio.sleep(_HOME_TAKEOVER_S)
        await self._check_inside(deployment, inside[0])
        for name in outside:
            deployment.send_signal(name, signal.SIGCONT)
        await deployment.put_platform_faults(away=False)
        await deployment.wait_until_ready(
            (inside[0], *outside), search=self.search
        )
        await self.assert_never_overloaded(deployment)

    async def _check_inside(
        self, deployment: _deployments.Deployment, host: str
    ) -> None:
        """Checks that exactly the shards held in the domain are answered."""
        held_indices: set[int] = set()
        for domain, shape in deployment.shape.servers:
            if domain == "seinajoki" and shape.name.startswith(self.search):
                held_indices.update(shape.holdings[0].indices)
        missing = sorted(set(range(self.shards)) - held_indices)
        # The first canaries may go to homes that do not answer.
        for attempt in range(3):
            text = f"inside {host} {attempt}"
            status, answer = await deployment.query(host, self.search, text)
        self.assertEqual(status, 200, answer)
        self.assert_answer(answer, text, missing)


class CrashAndColdTest(HomeTest):
    """Crashing requests are resent while crashed servers restart cold.

    The quarantine must hold through the loss of a host, and the restarted
    servers must not be overloaded.
    """

    async def test_resends_reach_cold_servers(self) -> None:
        deployment = await self.start()
        await _sessions.set_faults(deployment, {"crash_on": "poison"})
        plan = self.plan(deployment, duration_ms=6_000.0)
        load = asyncio.ensure_future(_sessions.run_load(deployment, plan))
        await asyncio.sleep(0.5)
        for host in deployment.hosts:
            await deployment.query(host, self.search, "poison pill")
            await asyncio.sleep(0.3)
        await deployment.kill_host("rovaniemi-2")
        for host in ("kuopio-1", "seinajoki-1"):
            await deployment.query(host, self.search, "poison pill")
        result = await load
        self.assert_no_wrong_answers(result)
        crashes = await _sessions.sum_counter(deployment, "crashes")
        self.assertLessEqual(crashes, 2)
        await self.assert_never_overloaded(deployment)
