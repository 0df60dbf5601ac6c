"""Tests of claims of orders."""

import asyncio
import unittest

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_standins import _platformtests


class ClaimStoreTest(_platformtests.PlatformTest):

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = store.create_claim_store(self.client, model.create_clock())

    async def record(self, claim: store.Claim, outcome: model.Outcome) -> None:
        await self.store.record(claim, outcome, model.Reason.NONE, "done")

    async def test_one_of_many_attempts_gets_the_claim(self) -> None:
        attempts = [
            self.store.take("s", "key", f"attempt-{number}")
            for number in range(20)
        ]
        claims = await asyncio.gather(*attempts)
        self.assertEqual(sum(claim.granted for claim in claims), 1)

    async def test_later_attempts_get_the_recorded_outcome(self) -> None:
        await self.record(
            await self.store.take("s", "key", "a"), model.Outcome.ANSWERED
        )
        claim = await self.store.take("s", "key", "b")
        self.assertFalse(claim.granted)
        self.assertIs(claim.outcome, model.Outcome.ANSWERED)
        self.assertEqual(claim.result, "done")

    async def test_order_that_did_not_run_is_claimed_again_once(self) -> None:
        await self.record(
            await self.store.take("s", "key", "a"), model.Outcome.NOT_RUN
        )
        attempts = [
            self.store.take("s", "key", f"attempt-{number}")
            for number in range(20)
        ]
        claims = await asyncio.gather(*attempts)
        self.assertEqual(sum(claim.granted for claim in claims), 1)
        # The outcome of the previous holder no longer counts, and the new
        # holder has not recorded one.
        late = await self.store.take("s", "key", "late")
        self.assertFalse(late.granted)
        self.assertIs(late.outcome, model.Outcome.UNKNOWN)

    async def test_record_of_a_previous_holder_is_rejected(
        self,
    ) -> None:
        first = await self.store.take("s", "key", "a")
        await self.record(first, model.Outcome.NOT_RUN)
        second = await self.store.take("s", "key", "b")
        self.assertTrue(second.granted)
        with self.assertRaises(model.ConflictError):
            await self.record(first, model.Outcome.NOT_RUN)

    async def test_claim_is_granted_if_the_create_response_is_lost(
        self,
    ) -> None:
        self.set_faults(lost_answers=1)
        claim = await self.store.take("s", "key", "a")
        self.assertTrue(claim.granted)
        other = await self.store.take("s", "key", "b")
        self.assertFalse(other.granted)

    async def test_unavailable_platform_grants_no_claim(self) -> None:
        self.set_faults(away=True)
        with self.assertRaises(model.PlatformUnavailableError):
            await self.store.take("s", "key", "a")


if __name__ == "__main__":
    unittest.main()
