"""Tests of orders in a running deployment with injected faults."""

import asyncio
import signal
from typing import Any

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _sessions

_HOSTS = ("seinajoki-1", "kuopio-1", "rovaniemi-1")
_FAULTS: tuple[dict[str, Any], ...] = (
    {},
    {"lose": "before"},
    {"lose": "after"},
    {"hang": True},
    {"shed": True},
    {"draining": True},
)
_NO_FAULTS = {"lose": "", "hang": False, "shed": False, "draining": False}


class OrderSession(_sessions.SessionTest):
    """Base of the tests that send orders to a deployment."""

    guard = "ticket"
    order_search = "orders"

    async def create_body(
        self, deployment: _deployments.Deployment, host: str, name: str
    ) -> dict[str, Any]:
        """Returns an order's body, which can be sent again as a resend."""
        body: dict[str, Any] = {"order": {"id": name}, "deadlineMs": 700}
        if self.guard == "claim":
            return {**body, "key": name}
        status, ticket = await deployment.post(
            host, f"/v1/searches/{self.order_search}/tickets", {}
        )
        self.assertEqual(status, 200, ticket)
        return {**body, "ticket": ticket["ticket"]}

    async def send(
        self,
        deployment: _deployments.Deployment,
        host: str,
        body: dict[str, Any],
    ) -> dict[str, Any]:
        """Sends an order to a host and returns the answer."""
        path = f"/v1/searches/{self.order_search}/orders"
        _, answer = await deployment.post(host, path, body)
        return answer

    async def set_faults(
        self, deployment: _deployments.Deployment, faults: dict[str, Any]
    ) -> None:
        """Sets the faults of all servers that run orders."""
        for _, shape in deployment.shape.servers:
            if shape.name.startswith(self.order_search):
                await deployment.put_server(shape.name, "/faults", faults)

    async def check_fault(
        self,
        deployment: _deployments.Deployment,
        name: str,
        fault: dict[str, Any],
    ) -> None:
        """Checks that an order sent during a fault runs at most once.

        Once the fault is removed, every host gets a resend of the order at the
        same time.
        """
        body = await self.create_body(deployment, _HOSTS[0], name)
        await self.set_faults(deployment, fault)
        answers = [await self.send(deployment, _HOSTS[0], body)]
        runs = await _sessions.count_runs(deployment, name)
        if answers[0]["outcome"] == "not_run":
            self.assertEqual(
                runs, 0, "the order ran although its outcome is not_run"
            )
        await self.set_faults(deployment, _NO_FAULTS)
        await asyncio.sleep(1.0)
        resends = [
            self.send(deployment, host, body) for host in deployment.hosts
        ]
        answers.extend(await asyncio.gather(*resends))
        runs = await _sessions.count_runs(deployment, name)
        self.assertLessEqual(runs, 1, answers)
        for answer in answers:
            if answer["outcome"] == "answered":
                self.assertEqual(runs, 1, answers)
                self.assertEqual(answer["result"]["accepted"], name)


class TicketTest(OrderSession):
    """Orders guarded by a ticket, which only its issuing host may run."""

    async def test_order_runs_at_most_once_under_server_faults(self) -> None:
        deployment = await self.start()
        for number, fault in enumerate(_FAULTS):
            with self.subTest(fault=fault):
                await self.check_fault(deployment, f"ticket-{number}", fault)

    async def test_orders_are_served_while_the_platform_is_unavailable(
        self,
    ) -> None:
        deployment = await self.start()
        await deployment.put_platform_faults(away=True)
        for number in range(5):
            name = f"away-{number}"
            body = await self.create_body(deployment, _HOSTS[0], name)
            answer = await self.send(deployment, _HOSTS[1], body)
            self.assertEqual(answer["outcome"], "answered", answer)
            self.assertEqual(await _sessions.count_runs(deployment, name), 1)

    async def test_ticket_of_a_restarted_issuer_is_never_run_again(
        self,
    ) -> None:
        deployment = await self.start()
        ran = await self.create_body(deployment, _HOSTS[0], "ran")
        await self.send(deployment, _HOSTS[0], ran)
        unused = await self.create_body(deployment, _HOSTS[0], "unused")
        await deployment.kill_host(_HOSTS[0])
        during = await self.send(deployment, _HOSTS[1], ran)
        await deployment.start_host(_HOSTS[0])
        await deployment.wait_until_ready((_HOSTS[0],))
        await asyncio.sleep(0.5)
        after = [
            await self.send(deployment, host, body)
            for host in (_HOSTS[0], _HOSTS[1])
            for body in (ran, unused)
        ]
        for answer in (during, *after):
            self.assertEqual(answer["outcome"], "unknown", answer)
            self.assertEqual(answer["reason"], "issuer_gone", answer)
        self.assertEqual(await _sessions.count_runs(deployment, "ran"), 1)
        self.assertEqual(await _sessions.count_runs(deployment, "unused"), 0)

    async def test_order_of_a_paused_issuer_runs_at_most_once(self) -> None:
        deployment = await self.start()
        body = await self.create_body(deployment, _HOSTS[0], "stopped")
        first = asyncio.ensure_future(self.send(deployment, _HOSTS[0], body))
        await asyncio.sleep(0.002)
        deployment.send_signal(_HOSTS[0], signal.SIGSTOP)
        during = await self.send(deployment, _HOSTS[1], body)
        self.assertNotEqual(during["outcome"], "not_run", during)
        deployment.send_signal(_HOSTS[0], signal.SIGCONT)
        await first
        await self.send(deployment, _HOSTS[1], body)
        runs = await _sessions.count_runs(deployment, "stopped")
        self.assertLessEqual(runs, 1)


class ClaimTest(OrderSession):
    """Orders guarded by a claim of their key in the platform."""

    guard = "claim"
    order_search = "weighings"

    async def test_order_runs_at_most_once_under_server_faults(self) -> None:
        deployment = await self.start()
        for number, fault in enumerate(_FAULTS):
            with self.subTest(fault=fault):
                await self.check_fault(deployment, f"claim-{number}", fault)

    async def test_order_runs_once_when_platform_answers_are_lost(self) -> None:
        deployment = await self.start()
        for lost in (1, 2):
            name = f"lost-{lost}"
            body = await self.create_body(deployment, _HOSTS[0], name)
            await deployment.put_platform_faults(lost_answers=lost)
            answers = [
                await self.send(deployment, host, body) for host in _HOSTS
            ]
            await deployment.put_platform_faults(lost_answers=0)
            answers.append(await self.send(deployment, _HOSTS[0], body))
            runs = await _sessions.count_runs(deployment, name)
            self.assertEqual(runs, 1, answers)
            self.assertEqual(answers[0]["outcome"], "answered", answers)

    async def test_orders_are_not_run_while_the_platform_is_unavailable(
        self,
    ) -> None:
        deployment = await self.start()
        body = await self.create_body(deployment, _HOSTS[0], "away")
        await deployment.put_platform_faults(away=True)
        answer = await self.send(deployment, _HOSTS[0], body)
        self.assertEqual(answer["outcome"], "not_run", answer)
        self.assertEqual(answer["reason"], "platform_away", answer)
        self.assertEqual(await _sessions.count_runs(deployment, "away"), 0)
        await deployment.put_platform_faults(away=False)
        answer = await self.send(deployment, _HOSTS[1], body)
        self.assertEqual(answer["outcome"], "answered", answer)
        self.assertEqual(await _sessions.count_runs(deployment, "away"), 1)

    async def test_order_of_a_killed_host_runs_at_most_once(self) -> None:
        deployment = await self.start()
        for number, wait_ms in enumerate((1, 4, 8, 15)):
            name = f"killed-{number}"
            host = "seinajoki-2"
            body = await self.create_body(deployment, host, name)
            first = asyncio.ensure_future(self.send(deployment, host, body))
            await asyncio.sleep(wait_ms / 1_000)
            await deployment.kill_host(host)
            await asyncio.gather(first, return_exceptions=True)
            resends = [self.send(deployment, host, body) for host in _HOSTS]
            answers = await asyncio.gather(*resends)
            runs = await _sessions.count_runs(deployment, name)
            self.assertLessEqual(runs, 1, answers)
            await deployment.start_host(host)
            await deployment.wait_until_ready((host,))
