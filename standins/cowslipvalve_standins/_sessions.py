"""Test sessions on a running deployment, and their approved transcripts."""

import os
import re
import unittest
from typing import Any

import approvaltests
import orjson

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _keptlogs
from cowslipvalve_standins import _loads
from cowslipvalve_standins import _shapes

# Values that differ between runs and are masked in transcripts.
_VOLATILE_VALUES = (
    (re.compile(r'"requestId": "[^"]*"'), '"requestId": "<id>"'),
    (re.compile(r'"ticket": "[^"]*"'), '"ticket": "<ticket>"'),
    (re.compile(r'"server": "[^"]*"'), '"server": "<server>"'),
    (re.compile(r'"peer": "[^"]*"'), '"peer": "<peer>"'),
    (re.compile(r"\d{4}-\d\d-\d\dT[0-9:+]*"), "<time>"),
)


class Transcript:
    """The inputs and outputs of a deployment in the order of a session."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def add_input(self, text: str) -> None:
        """Adds a request, a fault or a write of an operator."""
        self._lines.append(f"> {text}")

    def add_output(self, output: Any) -> None:
        """Adds an answer, a status or audit records, with masked values."""
        text = output
        if not isinstance(output, str):
            text = orjson.dumps(output, option=orjson.OPT_SORT_KEYS).decode()
            text = text.replace('":', '": ').replace(",", ", ")
        for pattern, replacement in _VOLATILE_VALUES:
            text = pattern.sub(replacement, text)
        self._lines.append(f"  {text}")

    def verify(self) -> None:
        """Compares the transcript with the approved file of the test."""
        approvaltests.verify("\n".join(self._lines) + "\n")


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that each run their own deployment."""

    search = "price-lists"
    shards = 4
    host_count = 6

    def site(self) -> _shapes.SiteShape:
        """Returns the site that the tests of this class deploy."""
        return _shapes.create_haapaniemi(self.shards, self.host_count)

    async def start(
        self, site: _shapes.SiteShape | None = None, **settings: Any
    ) -> _deployments.Deployment:
        """Starts a deployment that is stopped at the end of the test.

        COWSLIPVALVE_ABLATION in the environment names the ablation, if any.
        """
        shape = _shapes.create_deployment_shape(site or self.site(), **settings)
        deployment = _deployments.Deployment(
            shape, os.environ.get("COWSLIPVALVE_ABLATION", "")
        )
        await self.enterAsyncContext(deployment)
        self.addCleanup(
            _keptlogs.keep_logs_of_failure, self, deployment.directory
        )
        await deployment.wait_until_ready(search=self.search)
        return deployment

    def plan(
        self, deployment: _deployments.Deployment, **fields: Any
    ) -> _loads.LoadPlan:
        """Returns a load plan for the search; the fields override defaults."""
        values: dict[str, Any] = {
            "search": self.search,
            "hosts": tuple(deployment.hosts),
            "counts": {_shapes.FIRST_SNAPSHOT: self.shards},
            "rate": 60.0,
            "duration_ms": 3_000.0,
        }
        return _loads.LoadPlan(**{**values, **fields})

    def assert_no_wrong_answers(self, result: _loads.LoadResult) -> None:
        """Checks that a load sent queries and got no wrong answer."""
        self.assertEqual(result.wrong_answers, [])
        self.assertGreater(result.sent, 0)

    def assert_answer(
        self, answer: dict[str, Any], text: str, missing: list[int]
    ) -> None:
        """Checks that an answer is correct and lacks just the given shards."""
        self.assertIn("coverage", answer, answer)
        counts = {_shapes.FIRST_SNAPSHOT: self.shards}
        mismatch = _loads.find_mismatch(self.search, text, answer, counts)
        self.assertEqual(mismatch, "")
        self.assertEqual(answer["coverage"]["missing"], missing)


run_load = _loads.run_load


async def sum_counter(
    deployment: _deployments.Deployment, field: str, domain: str = ""
) -> int:
    """Returns the sum of a counter over all servers, or those of a domain."""
    total = 0
    for name, shape in deployment.shape.servers:
        if domain in ("", name):
            total += (await deployment.server_stats(shape.name))[field]
    return total


async def count_runs(deployment: _deployments.Deployment, order: str) -> int:
    """Returns how many times all servers together have run an order."""
    runs = 0
    for _, shape in deployment.shape.servers:
        stats = await deployment.server_stats(shape.name)
        runs += stats["orders"].get(order, 0)
    return runs


async def set_faults(
    deployment: _deployments.Deployment, faults: dict[str, Any]
) -> None:
    """Sets faults of all servers."""
    for _, shape in deployment.shape.servers:
        await deployment.put_server(shape.name, "/faults", faults)


def read_events(
    deployment: _deployments.Deployment, event: str, text: str
) -> list[str]:
    """Returns the log lines of all hosts about an event that hold a text."""
    return [
        f"{host}: {line}"
        for host in deployment.hosts
        for line in deployment.log_path(host).read_text().splitlines()
        if f"msg={event} " in f"{line} " and text in line
    ]
