"""Measures the costs of hosts, idle and under load."""

import asyncio
import os
import pathlib
import statistics

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _fits
from cowslipvalve_standins import _loads
from cowslipvalve_standins import _shapes

_IDLE_DURATION_S = 8.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _read_process_usage(pid: int) -> tuple[float, float]:
    """Returns the processor time in s and the resident memory in MB."""
    directory = pathlib.Path("/proc") / str(pid)
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    pages = int((directory / "statm").read_text().split()[1])
    seconds = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return seconds, pages * _PAGE_BYTES / 1e6


def _read_mean_host_usage(
    deployment: _deployments.Deployment,
) -> tuple[float, float]:
    """Returns the mean processor time in s and memory in MB of all hosts."""
    values = [
        _read_process_usage(host.process.pid)
        for host in deployment.hosts.values()
        if host.process is not None
    ]
    seconds = statistics.mean(value[0] for value in values)
    return seconds, statistics.mean(value[1] for value in values)


def measure_idle() -> None:
    """Measures the processor load of idle hosts by the hosts per domain."""
    points = []
    for hosts in (3, 6, 12, 24):
        points.append((hosts / 3, asyncio.run(_measure_idle(hosts))))
    _fits.report_fit(
        "idle host, processor", "% of a core", "host of its domain", points
    )


async def _measure_idle(hosts: int) -> float:
    site = _shapes.create_haapaniemi(shards=2, hosts=hosts)
    shape = _shapes.create_deployment_shape(site)
    async with _deployments.Deployment(shape) as deployment:
        await deployment.wait_until_ready()
        before, _ = _read_mean_host_usage(deployment)
        await asyncio.sleep(_IDLE_DURATION_S)
        after, _ = _read_mean_host_usage(deployment)
    return (after - before) / _IDLE_DURATION_S * 100


def measure_load() -> None:
    """Measures the processor cost of queries by shards and by rate."""
    by_shards = []
    for shards in (2, 4, 8, 16):
        by_shards.append(
            (float(shards), asyncio.run(_measure_load(shards, 60.0)))
        )
    _fits.report_fit("query, all hosts together", "ms", "shard", by_shards)
    by_rate = []
    for rate in (20.0, 40.0, 80.0, 120.0):
        cost = asyncio.run(_measure_load(8, rate))
        by_rate.append((rate, cost * rate / 10))
    _fits.report_fit(
        "load of 8 shards, all hosts", "% of a core", "query/s", by_rate
    )


async def _measure_load(shards: int, rate: float) -> float:
    """Returns the processor time per query in all hosts together, in ms."""
    site = _shapes.create_haapaniemi(shards=shards, hosts=6)
    shape = _shapes.create_deployment_shape(site)
    async with _deployments.Deployment(shape) as deployment:
        await deployment.wait_until_ready(search="price-lists")
        plan = _loads.LoadPlan(
            search="price-lists",
            hosts=tuple(deployment.hosts),
            counts={_shapes.FIRST_SNAPSHOT: shards},
            rate=rate,
            duration_ms=4_000.0,
        )
        await _loads.run_load(deployment, plan)
        before, _ = _read_mean_host_usage(deployment)
        result = await _loads.run_load(deployment, plan)
        after, _ = _read_mean_host_usage(deployment)
    return (after - before) * len(deployment.hosts) / result.sent * 1e3
