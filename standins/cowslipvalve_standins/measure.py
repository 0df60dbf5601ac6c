"""Compares the query policy with simpler policies.

python -m cowslipvalve_standins.measure [SITE [SCENARIO [POLICY]]] prints a
Markdown table with a row for each run. An argument that is missing or empty
matches all values.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable, Iterator

import attrs

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _loads
from cowslipvalve_standins import _sessions
from cowslipvalve_standins import _shapes
from cowslipvalve_standins import _placements

_SHARD_COUNT = 10
_HOST_COUNT = 8
_RATE_PER_S = 40.0
_SHORT_RUN_MS = 6_000.0
_LONG_RUN_MS = 10_000.0
_STRAGGLE_MS = 200.0
_SEED = 7
_WARM_UP_LOAD_MS = 4_000.0
_BENCHMARK_ITERATIONS = 2_000_000
# These policies affect single queries only, so the long scenarios omit them.
_SINGLE_QUERY_POLICIES = ("no hedging", "no canary")
_LONG_SCENARIOS = ("cold", "domain")

_FaultInjector = Callable[
    [_deployments.Deployment, _shapes.SiteShape], Awaitable[None]
]


@attrs.frozen
class _RunResult:
    """The results of a run; the field names are the column titles."""

    site: str
    scenario: str
    policy: str
    sent: int
    p50_ms: float
    p99_ms: float
    coverage: float
    whole: float
    failed: int
    not_run: int
    extra_load: float
    connections: int
    overruns: int
    collapses: int
    wrong: int
    machine_ms: int


async def _inject_nothing(
    _deployment: _deployments.Deployment, _site: _shapes.SiteShape
) -> None:
    return


async def _slow_one_server(
    deployment: _deployments.Deployment, site: _shapes.SiteShape
) -> None:
    name = f"{site.searches[0].name}-0-a"
    await deployment.put_server(name, "/faults", {"straggle_ms": _STRAGGLE_MS})


async def _restart_servers(
    deployment: _deployments.Deployment, site: _shapes.SiteShape
) -> None:
    await asyncio.sleep(1.0)
    for index in range(0, _SHARD_COUNT, 2):
        name = f"{site.searches[0].name}-{index}-a"
        await deployment.post_server(name, "/crash")


async def _take_domain_out_and_in(
    deployment: _deployments.Deployment, site: _shapes.SiteShape
) -> None:
    name = site.domains[-1][0]
    await asyncio.sleep(1.0)
    await _placements.write_placement(deployment, "FailureDomain", name, "out")
    await asyncio.sleep(4.0)
    await _placements.write_placement(deployment, "FailureDomain", name, "in")


_SCENARIOS: dict[str, tuple[_FaultInjector, float]] = {
    "calm": (_inject_nothing, _SHORT_RUN_MS),
    "straggler": (_slow_one_server, _SHORT_RUN_MS),
    "cold": (_restart_servers, _LONG_RUN_MS),
    "domain": (_take_domain_out_and_in, _LONG_RUN_MS),
}
_POLICIES = {
    "homes": "",
    "no hedging": "hedges",
    "no canary": "",
    "divided limits": "divided-limits",
    "whole limits": "whole-limits",
}


def _create_site(name: str, policy: str) -> _shapes.SiteShape:
    spec: dict[str, object] = {"canary": policy != "no canary"}
    if name == "haapaniemi":
        return _shapes.create_haapaniemi(_SHARD_COUNT, _HOST_COUNT, spec)
    return _shapes.create_kestrelford(_SHARD_COUNT, _HOST_COUNT, spec)


async def _measure_run(
    site_name: str, scenario: str, policy: str
) -> _RunResult:
    site = _create_site(site_name, policy)
    search = site.searches[0].name
    inject_fault, duration_ms = _SCENARIOS[scenario]
    shape = _shapes.create_deployment_shape(site)
    async with _deployments.Deployment(shape, _POLICIES[policy]) as deployment:
        await deployment.wait_until_ready()
        hosts = tuple(
            name for name in deployment.hosts if site.domains[-1][0] not in name
        )
        plan = _loads.LoadPlan(
            search=search,
            hosts=hosts,
            counts={_shapes.FIRST_SNAPSHOT: _SHARD_COUNT},
            rate=_RATE_PER_S,
            duration_ms=_WARM_UP_LOAD_MS,
            seed=_SEED,
        )
        await _loads.run_load(deployment, plan)
        before = await _read_stats(deployment)
        fault_task = asyncio.ensure_future(inject_fault(deployment, site))
        result = await _loads.run_load(
            deployment, attrs.evolve(plan, duration_ms=duration_ms)
        )
        await fault_task
        after = await _read_stats(deployment)
    return _summarize(site_name, scenario, policy, result, before, after)


async def _read_stats(
    deployment: _deployments.Deployment,
) -> dict[str, int]:
    fields = ("queries", "shed", "connections", "overruns", "collapses")
    return {
        field: await _sessions.sum_counter(deployment, field)
        for field in fields
    }


def _summarize(
    site: str,
    scenario: str,
    policy: str,
    result: _loads.LoadResult,
    before: dict[str, int],
    after: dict[str, int],
) -> _RunResult:
    increases = {field: after[field] - before[field] for field in after}
    expected_queries = result.sent * _SHARD_COUNT
    not_run = sum(n for key, n in result.failures.items() if "not_run" in key)
    return _RunResult(
        site=site,
        scenario=scenario,
        policy=policy,
        sent=result.sent,
        p50_ms=round(result.percentile_ms(50), 1),
        p99_ms=round(result.percentile_ms(99), 1),
        coverage=round(result.mean_coverage, 4),
        whole=round(result.complete / result.sent, 4),
        failed=sum(result.failures.values()),
        not_run=not_run,
        extra_load=round(
            (increases["queries"] + increases["shed"]) / expected_queries - 1, 4
        ),
        connections=increases["connections"],
        overruns=increases["overruns"],
        collapses=increases["collapses"],
        wrong=len(result.wrong_answers),
        machine_ms=_time_reference_loop(),
    )


def _time_reference_loop() -> int:
    """Returns the time of a fixed loop in ms, to compare machine speeds."""
    start = time.perf_counter()
    total = 0
    for number in range(_BENCHMARK_ITERATIONS):
        total += number
    return round((time.perf_counter() - start) * 1e3)


def _print_header() -> None:
    names = [field.name for field in attrs.fields(_RunResult)]
    print("| " + " | ".join(names) + " |")
    print("|" + "---|" * len(names), flush=True)


def _select_runs(filters: list[str]) -> Iterator[tuple[str, str, str]]:
    filters = [*filters, "", "", ""][:3]
    for site in ("haapaniemi", "kestrelford"):
        for scenario in _SCENARIOS:
            for policy in _POLICIES:
                run = (site, scenario, policy)
                if (
                    scenario in _LONG_SCENARIOS
                    and policy in _SINGLE_QUERY_POLICIES
                ):
                    continue
                if all(a in ("", b) for a, b in zip(filters, run, strict=True)):
                    yield run


def main() -> None:
    """Measures the selected runs one after another."""
    _print_header()
    for run in _select_runs(sys.argv[1:]):
        try:
            row = asyncio.run(_measure_run(*run))
        except TimeoutError:
            print(
                f"| {' | '.join(run)} | hosts did not become ready |",
                flush=True,
            )
            continue
        values = [str(value) for value in attrs.astuple(row)]
        print("| " + " | ".join(values) + " |", flush=True)


if __name__ == "__main__":
    main()
