"""Tests of what shows that a server has not crashed."""

import asyncio
import unittest
from unittest import mock

import cowslipvalve_backend as backend
import cowslipvalve_model as model
from cowslipvalve_daemon import _crashchecks


class CrashCheckTest(unittest.IsolatedAsyncioTestCase):

    async def is_running(self, boot_id: str, answer: object) -> bool:
        """Checks a server whose state endpoint does what the answer says."""
        client = mock.create_autospec(backend.ServerClient, instance=True)
        client.read_state.side_effect = answer
        return await _crashchecks.is_running(
            client, boot_id, model.create_clock()
        )

    async def test_only_the_known_boot_id_shows_that_it_runs(self) -> None:
        for boot_id, found, expected in (
            ("a", "a", True),
            ("a", "b", False),
            ("", "", False),
        ):
            with self.subTest(boot_id=boot_id, found=found):
                answer = [model.ServerState(found, ())]
                self.assertIs(await self.is_running(boot_id, answer), expected)

    async def test_no_answer_does_not_show_that_it_runs(self) -> None:
        error = model.NotRunError(
            "refused", reason=model.Reason.UNREACHABLE, step="", peer=""
        )

        async def hang() -> None:
            await asyncio.sleep(10.0)

        for answer in (error, hang):
            with self.subTest(answer=answer):
                self.assertFalse(await self.is_running("a", answer))


if __name__ == "__main__":
    unittest.main()
