"""Demonstrates the query tier: python -m cowslipvalve_standins.demo.

Starts a platform, 8 daemons in 3 failure domains and backend servers on this
machine, creates their resources, and prints the answers that callers get. The
exit status is 1 if an answer is wrong.
"""

import asyncio
import subprocess
import sys
import time
from typing import Any

import cowslipvalve_model as model
from cowslipvalve_standins import _data
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _shapes

_SEARCH = "price-lists"
_SHARD_COUNT = 6
_TAKE_OUT_TARGET_S = 3.0


class Demo:
    """The steps of the demonstration and the errors that they detected."""

    def __init__(self, deployment: _deployments.Deployment) -> None:
        self._deployment = deployment
        self.errors: list[str] = []

    async def run(self) -> None:
        """Runs all steps."""
        await self._deployment.wait_until_ready(search=_SEARCH)
        print("8 hosts are ready, all shards are covered")
        for host, text in zip(
            self._deployment.hosts, ("elk", "hare", "grouse"), strict=False
        ):
            await self._search(host, text)
        await self._order("seinajoki-1", "kuopio-1")
        await self._take_out("seinajoki")
        await self._search("kuopio-1", "elk again")
        await self._take_in("seinajoki")
        await self._search("seinajoki-1", "hare again")
        print(self._run_command_line("audit").strip())

    def _check(self, condition: bool, error: str) -> None:
        if not condition:
            self.errors.append(error)
            print(f"  WRONG: {error}")

    async def _search(self, host: str, text: str) -> None:
        start = time.monotonic()
        status, answer = await self._deployment.query(host, _SEARCH, text)
        took_ms = (time.monotonic() - start) * 1_000
        snapshot = model.Snapshot(_SEARCH, _shapes.FIRST_SNAPSHOT, _SHARD_COUNT)
        expected = [hit.id for hit in _data.find_all_hits(snapshot, text, 10)]
        found = [hit["id"] for hit in answer.get("hits", [])]
        coverage = answer.get("coverage", {})
        print(
            f"search {text!r} by {host}: status {status},"
            f" {coverage.get('answered')} of {coverage.get('total')} shards,"
            f" snapshot {answer.get('snapshot')}, {took_ms:.0f} ms"
        )
        self._check(
            found == expected, f"{text!r}: hits {found}, expected {expected}"
        )

    async def _order(self, host: str, other_host: str) -> None:
        _, ticket = await self._deployment.post(
            host, "/v1/searches/orders/tickets", {}
        )
        body = {"order": {"id": "order-1"}, "ticket": ticket["ticket"]}
        answers = [
            await self._deployment.post(
                name, "/v1/searches/orders/orders", body
            )
            for name in (host, other_host)
        ]
        for name, (status, answer) in zip(
            (host, other_host), answers, strict=True
        ):
            print(
                f"order by {name}: status {status},"
                f" {answer['outcome']} {answer.get('result')}"
            )
        runs = await self._count_runs("order-1")
        print(f"the servers ran the order {runs} time(s)")
        self._check(runs == 1, f"the order ran {runs} times, expected once")

    async def _count_runs(self, order: str) -> int:
        runs = 0
        for name in self._deployment.addresses:
            stats = await self._deployment.server_stats(name)
            runs += stats["orders"].get(order, 0)
        return runs

    async def _take_out(self, domain: str) -> None:
        print(self._run_command_line("domain", "out", domain).strip())
        await asyncio.sleep(_TAKE_OUT_TARGET_S)
        before = await self._count_queries(domain)
        for number in range(20):
            await self._deployment.query("kuopio-1", _SEARCH, f"out {number}")
        after = await self._count_queries(domain)
        print(
            f"shard queries in {domain} from 3 s after it was taken out:"
            f" {after - before}"
        )
        self._check(
            after == before, f"{domain} received queries while it was out"
        )

    async def _take_in(self, domain: str) -> None:
        print(self._run_command_line("domain", "in", domain).strip())
        await self._deployment.wait_until_ready(("seinajoki-1",), _SEARCH)

    async def _count_queries(self, domain: str) -> int:
        total = 0
        for name, shape in self._deployment.shape.servers:
            if name == domain:
                stats = await self._deployment.server_stats(shape.name)
                total += stats["queries"]
        return total

    def _run_command_line(self, *arguments: str) -> str:
        command: list[Any] = [sys.executable, "-m", "cowslipvalve_cli"]
        completed = subprocess.run(
            [*command, *arguments, "--platform", self._deployment.platform_url],
            capture_output=True,
            text=True,
            check=False,
        )
        self._check(
            completed.returncode == 0, f"{arguments}: {completed.stderr}"
        )
        return completed.stdout


async def _run() -> int:
    start = time.monotonic()
    shape = _shapes.create_deployment_shape(
        _shapes.create_haapaniemi(shards=_SHARD_COUNT)
    )
    async with _deployments.Deployment(shape) as deployment:
        demo = Demo(deployment)
        await demo.run()
    print(f"took {time.monotonic() - start:.0f} s")
    if demo.errors:
        print(f"{len(demo.errors)} answers were wrong")
        return 1
    print("all answers were correct")
    return 0


def main() -> None:
    """Runs the demonstration and exits with its status."""
    sys.exit(asyncio.run(_run()))


if __name__ == "__main__":
    main()
