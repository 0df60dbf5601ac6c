"""An open-loop load of checked queries."""

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
_TOP_HITS = 10


@attrs.frozen(kw_only=True)
class LoadPlan:
    """What callers send."""

    # The name of the search.
    search: str
    # The hosts that get the queries in turn.
    hosts: tuple[str, ...]
    # The number of shards by snapshot.
    counts: dict[int, int]
    # The rate of all callers together, in queries a second.
    rate: float
    # The time for which queries are started, in ms.
    duration_ms: float
    # The seed of the arrival times and the query texts.
    seed: int = 1
    # The number of different query texts.
    texts: int = 1_000


@attrs.define
class LoadResult:
    """What the callers got."""

    # Latencies from the intended start, in us.
    latencies: Any
    # The number of queries that were sent.
    sent: int = 0
    # The number of answers that hold all shards.
    whole: int = 0
    # The sum of the answered shares; a failure counts as zero.
    coverage: float = 0.0
    # Failures by outcome and reason.
    failures: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # When each failure came, in ms since the start.
    failed_at_ms: list[float] = attrs.field(factory=list)
    # Answers that are wrong.
    wrong: list[str] = attrs.field(factory=list)
    # Answers by snapshot.
    snapshots: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency."""
        value = self.latencies.get_value_at_percentile(percentile)
        return float(value) / _US_PER_MS

    @property
    def mean_coverage(self) -> float:
        """The mean share of shards in the answers."""
        return self.coverage / self.sent if self.sent else 0.0


class Load:
    """Callers that send queries at their own times."""

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
        if "coverage" in answer:
            self._record_answer(text, answer)
        else:
            key = f"{status} {answer['outcome']} {answer['reason']}"
            self.result.failures[key] += 1
            self.result.failed_at_ms.append((loop.time() - load_start) * 1_000)

    def _record_answer(self, text: str, answer: dict[str, Any]) -> None:
        coverage = answer["coverage"]
        self.result.coverage += coverage["answered"] / coverage["total"]
        self.result.whole += not coverage["missing"]
        self.result.snapshots[answer["snapshot"]] += 1
        mismatch = find_fault(
            self._plan.search, text, answer, self._plan.counts
        )
        if mismatch:
            self.result.wrong.append(mismatch)


def find_fault(
    search: str, text: str, answer: dict[str, Any], counts: dict[int, int]
) -> str:
    """Returns what is wrong with an answer, empty if it is right.

    A right answer holds exactly the best hits of the shards that it claims to
    hold, all from the snapshot that it names.
    """
    number = answer["snapshot"]
    coverage = answer["coverage"]
    if number not in counts:
        return f"unknown snapshot {number}"
    snapshot = model.Snapshot(search, number, counts[number])
    missing = set(coverage["missing"])
    if coverage["answered"] + len(missing) != coverage["total"]:
        return f"coverage does not add up: {coverage}"
    if coverage["total"] != snapshot.count:
        return f"coverage of {coverage['total']}, not {snapshot.count}"
    expected = _data.find_all_hits(snapshot, text, _TOP_HITS, missing)
    found_ids = [hit["id"] for hit in answer["hits"]]
    if found_ids != [hit.id for hit in expected]:
        return (
            f"{text!r}: found {found_ids}, not {[hit.id for hit in expected]}"
        )
    total = coverage["answered"] * _data.DOCUMENTS_PER_SHARD
    if answer["totalHits"] != total:
        return f"{answer['totalHits']} matches, not {total}"
    return ""


async def run_load(
    deployment: _deployments.Deployment, plan: LoadPlan
) -> LoadResult:
    """Runs a load to its end."""
    return await Load(deployment, plan).run()
