"""Tests of the commands against a platform stand-in."""

import asyncio
import json
import pathlib
import sys
import tempfile
from typing import Any

from cowslipvalve_cli import _execution
from cowslipvalve_standins import _platformtests


def _create_domain(name: str, **metadata: Any) -> dict[str, Any]:
    return {
        "kind": "FailureDomain",
        "metadata": {"name": name, **metadata},
        "spec": {"region": "savo"},
    }


class CommandTest(_platformtests.PlatformTest):

    async def run_client(self, *arguments: str) -> tuple[int, str, str]:
        """Runs the client; returns its exit status, output and errors."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cowslipvalve_cli", *arguments,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        output, errors = await process.communicate()
        return process.returncode or 0, output.decode(), errors.decode()

    async def run_on_platform(self, *arguments: str) -> tuple[int, str, str]:
        """Runs the client against the test's platform."""
        return await self.run_client(*arguments, "--platform", self.url)

    def write_file(self, plain: Any) -> str:
        """Writes text or JSON data to a new file and returns its path."""
        with tempfile.NamedTemporaryFile("w", delete=False) as file:
            file.write(plain if isinstance(plain, str) else json.dumps(plain))
        self.addCleanup(pathlib.Path(file.name).unlink)
        return file.name

    async def test_apply_get_and_delete(self) -> None:
        path = self.write_file(
            [_create_domain("kuopio"), _create_domain("lappi")]
        )
        status, output, errors = await self.run_on_platform("apply", "-f", path)
        self.assertEqual(status, 0, errors)
        self.assertEqual(output.count("created"), 2)
        _, output, _ = await self.run_on_platform("apply", "-f", path)
        self.assertEqual(output.count("unchanged"), 2)
        _, output, _ = await self.run_on_platform(
            "get", "domain", "kuopio", "--output", "json"
        )
        self.assertEqual(json.loads(output)[0]["spec"], {"region": "savo"})
        status, _, _ = await self.run_on_platform("delete", "domain", "kuopio")
        self.assertEqual(status, 0)
        status, _, _ = await self.run_on_platform(
            "describe", "domain", "kuopio"
        )
        self.assertEqual(status, _execution.EXIT_NOT_FOUND)

    async def test_placement_keeps_other_fields_and_names_the_operator(
        self,
    ) -> None:
        await self.run_on_platform(
            "apply", "-f", self.write_file(_create_domain("kuopio"))
        )
        status, output, _ = await self.run_on_platform(
            "domain", "out", "kuopio", "--operator", "aino"
        )
        self.assertEqual(status, 0)
        self.assertIn("placement out, changed", output)
        item = await self.client.get("FailureDomain", "kuopio")
        self.assertEqual(item.spec, {"region": "savo", "placement": "out"})
        self.assertEqual(item.metadata.operator, "aino")

    async def test_change_of_another_operator_is_shown_not_overwritten(
        self,
    ) -> None:
        await self.run_on_platform(
            "apply", "-f", self.write_file(_create_domain("kuopio"))
        )
        item = await self.client.get("FailureDomain", "kuopio")
        version = item.metadata.resource_version
        await self.run_on_platform(
            "domain", "out", "kuopio", "--operator", "aino"
        )
        path = self.write_file(
            _create_domain("kuopio", resourceVersion=version)
        )
        status, _, errors = await self.run_on_platform("apply", "-f", path)
        self.assertEqual(status, _execution.EXIT_CONFLICT)
        self.assertIn("aino", errors)
        item = await self.client.get("FailureDomain", "kuopio")
        self.assertEqual(item.spec["placement"], "out")

    async def test_invalid_files_are_rejected_whole(self) -> None:
        cases: tuple[tuple[Any, str], ...] = (
            ("{", "not JSON"),
            ([_create_domain("kuopio"), {"kind": "Cook"}], "item 1"),
            ([_create_domain("kuopio"), _create_domain("No")], "metadata"),
            (
                {**_create_domain("kuopio"), "spec": {"placement": "up"}},
                "in, out",
            ),
        )
        for plain, words in cases:
            with self.subTest(plain=plain):
                path = self.write_file(plain)
                for command in ("validate", "apply"):
                    arguments = [command, "-f", path]
                    if command == "apply":
                        arguments += ["--platform", self.url]
                    status, _, errors = await self.run_client(*arguments)
                    self.assertEqual(status, _execution.EXIT_BAD_INPUT)
                    self.assertIn(words, errors)
        self.assertEqual((await self.client.list("FailureDomain")).items, ())

    async def test_unavailable_platform_has_its_own_exit_status(self) -> None:
        self.set_faults(away=True)
        status, _, errors = await self.run_on_platform("status")
        self.assertEqual(status, _execution.EXIT_PLATFORM_UNAVAILABLE)
        self.assertIn("did not answer", errors)
