"""An open-loop load of queries whose answers are verified."""

import asyncio
import collections
import random
from typing import Any

import aiohttp
import attrs
from hdrh import histogram

import cowslipvalve_model as model
from cowslipvalve_standins import _data
from cowslipvalve_standins import _deployments

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_MS_PER_S = 1_000
_TOP_HITS = 10


@attrs.frozen(kw_only=True)
class LoadPlan:
    """The queries that a load sends."""

    # The name of the search.
    search: str
    # The hosts, which receive the queries round robin.
    hosts: tuple[str, ...]
    # The number of shards of each snapshot number.
    counts: dict[int, int]
    # The mean arrival rate of all callers together, in queries per second.
    rate: float
    # The period in which queries are sent, in ms.
    duration_ms: float
    # The seed of the arrival times and the query texts.
    seed: int = 1
    # The number of distinct query texts.
    texts: int = 1_000


@attrs.define
class LoadResult:
    """The answers and failures of a load."""

    # An HDR histogram of the latencies, in us. A latency counts from the
    # intended send time, so that delayed sending is included.
    latencies: Any
    # The number of queries that were sent.
    sent: int = 0
    # The number of answers with full coverage.
    complete: int = 0
    # The sum of the coverage ratios of all answers; a failure counts as zero.
    coverage_sum: float = 0.0
    # The number of failures by HTTP status, outcome and reason.
    failures: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # The time of each failure, in ms since the start of the load.
    failed_at_ms: list[float] = attrs.field(factory=list)
    # The time, reason and missing shards of each answer that lacks a shard.
    incomplete: list[str] = attrs.field(factory=list)
    # Descriptions of the wrong answers.
    wrong_answers: list[str] = attrs.field(factory=list)
    # The number of answers by snapshot number.
    snapshots: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile (0 to 100) of the latency, in ms."""
        value = self.latencies.get_value_at_percentile(percentile)
        return float(value) / _US_PER_MS

    @property
    def mean_coverage(self) -> float:
        """The mean coverage ratio of all queries sent, from 0 to 1."""
        return self.coverage_sum / self.sent if self.sent else 0.0


class Load:
    """Sends queries at random times without waiting for earlier answers.

    Arrivals are a Poisson process with a seeded generator.
    """

    def __init__(
        self, deployment: _deployments.Deployment, plan: LoadPlan
    ) -> None:
        self._deployment = deployment
        self._plan = plan
        self._random = random.Random(plan.seed)
        self.result = LoadResult(
            histogram.HdrHistogram(
                _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
            )
        )

    async def run(self) -> LoadResult:
        """Sends all queries and waits for their answers."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        intended_s = 0.0
        tasks = []
        while intended_s < model.to_seconds(self._plan.duration_ms):
            await asyncio.sleep(start + intended_s - loop.time())
            tasks.append(asyncio.ensure_future(self._send(start, intended_s)))
            intended_s += self._random.expovariate(self._plan.rate)
        await asyncio.gather(*tasks)
        return self.result

    async def _send(self, load_start: float, intended_s: float) -> None:
        loop = asyncio.get_running_loop()
        host = self._plan.hosts[self.result.sent % len(self._plan.hosts)]
        self.result.sent += 1
        text = f"text {self._random.randrange(self._plan.texts)}"
        try:
            status, answer = await self._deployment.query(
                host, self._plan.search, text
            )
        except aiohttp.ClientError as error:
            status, answer = 0, {"outcome": "lost", "reason": repr(error)}
        latency_us = (
            (loop.time() - load_start - intended_s) * _US_PER_MS * _US_PER_MS
        )
        self.result.latencies.record_value(
            max(_MIN_LATENCY_US, int(latency_us))
        )
        ended_ms = (loop.time() - load_start) * _MS_PER_S
        if "coverage" in answer:
            self._record_answer(text, answer, ended_ms)
        else:
            key = f"{status} {answer['outcome']} {answer['reason']}"
            self.result.failures[key] += 1
            self.result.failed_at_ms.append(ended_ms)

    def _record_answer(
        self, text: str, answer: dict[str, Any], ended_ms: float
    ) -> None:
        coverage = answer["coverage"]
        self.result.coverage_sum += coverage["answered"] / coverage["total"]
        self.result.complete += not coverage["missing"]
        if coverage["missing"]:
            self.result.incomplete.append(
                f"{ended_ms:.0f} ms: {answer['reason']} {coverage['missing']}"
            )
        self.result.snapshots[answer["snapshot"]] += 1
        mismatch = find_mismatch(
            self._plan.search, text, answer, self._plan.counts
        )
        if mismatch:
            self.result.wrong_answers.append(mismatch)


def find_mismatch(
    search: str, text: str, answer: dict[str, Any], counts: dict[int, int]
) -> str:
    """Returns what is wrong with an answer; empty if it is correct.

    A correct answer contains exactly the best hits of the shards that its
    coverage reports as answered, all from the snapshot that it names.
    """
    number = answer["snapshot"]
    coverage = answer["coverage"]
    if number not in counts:
        return f"unknown snapshot {number}"
    snapshot = model.Snapshot(search, number, counts[number])
    missing = set(coverage["missing"])
    if coverage["answered"] + len(missing) != coverage["total"]:
        return f"answered and missing shards differ from the total: {coverage}"
    if coverage["total"] != snapshot.count:
        return f"coverage total {coverage['total']}, expected {snapshot.count}"
    expected = _data.find_all_hits(snapshot, text, _TOP_HITS, missing)
    found_ids = [hit["id"] for hit in answer["hits"]]
    if found_ids != [hit.id for hit in expected]:
        return (
            f"{text!r}: found {found_ids},"
            f" expected {[hit.id for hit in expected]}"
        )
    total = coverage["answered"] * _data.DOCUMENTS_PER_SHARD
    if answer["totalHits"] != total:
        return f"{answer['totalHits']} total hits, expected {total}"
    return ""


async def run_load(
    deployment: _deployments.Deployment, plan: LoadPlan
) -> LoadResult:
    """Sends all queries of a load and returns the result."""
    return await Load(deployment, plan).run()
