"""Compares the two guards of orders.

python -m cowslipvalve_standins.measure_orders prints a row for each guard: the
latency, the platform writes per order, and the number of orders answered while
the platform is unreachable.
"""

import asyncio
import statistics
import time
from typing import Any

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _shapes

_ORDER_COUNT = 200
_HOST_COUNT = 6
_GUARDS = (("orders", "ticket"), ("weighings", "key"))
_ORDER_INTERVAL_S = 0.02


async def _send_order(
    deployment: _deployments.Deployment, search: str, guard: str, number: int
) -> tuple[str, float]:
    """Sends an order; returns its outcome and its latency in ms."""
    hosts = list(deployment.hosts)
    host = hosts[number % len(hosts)]
    path = f"/v1/searches/{search}"
    start = time.monotonic()
    guard_value = f"order-{number}"
    if guard == "ticket":
        _, ticket = await deployment.post(host, f"{path}/tickets", {})
        guard_value = ticket["ticket"]
    body: dict[str, Any] = {
        "order": {"id": f"{guard}-{number}"},
        guard: guard_value,
    }
    _, answer = await deployment.post(host, f"{path}/orders", body)
    return answer["outcome"], (time.monotonic() - start) * 1e3


async def _count_writes(deployment: _deployments.Deployment) -> int:
    calls = await deployment.platform_calls()
    return sum(
        count
        for name, count in calls.items()
        if name.endswith("OrderClaim") and not name.startswith("GET")
    )


async def _measure_guard(
    deployment: _deployments.Deployment, search: str, guard: str
) -> None:
    before = await _count_writes(deployment)
    results = []
    for number in range(_ORDER_COUNT):
        results.append(await _send_order(deployment, search, guard, number))
        await asyncio.sleep(_ORDER_INTERVAL_S)
    writes = await _count_writes(deployment) - before
    await deployment.put_platform_faults(away=True)
    outage_results = [
        await _send_order(deployment, search, guard, _ORDER_COUNT + number)
        for number in range(10)
    ]
    await deployment.put_platform_faults(away=False)
    latencies_ms = sorted(took_ms for _, took_ms in results)
    answered = sum(outcome == "answered" for outcome, _ in results)
    outage_answered = sum(
        outcome == "answered" for outcome, _ in outage_results
    )
    print(
        f"| {guard} | {answered} of {_ORDER_COUNT}"
        f" | {statistics.median(latencies_ms):.1f}"
        f" | {latencies_ms[int(0.99 * len(latencies_ms))]:.1f}"
        f" | {writes / _ORDER_COUNT:.2f}"
        f" | {outage_answered} of {len(outage_results)} |",
        flush=True,
    )


async def _run() -> None:
    shape = _shapes.create_deployment_shape(
        _shapes.create_haapaniemi(shards=2, hosts=_HOST_COUNT)
    )
    async with _deployments.Deployment(shape) as deployment:
        await deployment.wait_until_ready()
        print("| guard | answered | p50 ms | p99 ms | writes | in outage |")
        print("|---|---|---|---|---|---|")
        for search, guard in _GUARDS:
            await _measure_guard(deployment, search, guard)


def main() -> None:
    """Measures both guards and prints the table."""
    asyncio.run(_run())


if __name__ == "__main__":
    main()
