"""Claims in the platform that keep an order from running twice."""

import hashlib
from typing import Any

import attrs

import cowslipvalve_model as model
from cowslipvalve_store import _client
from cowslipvalve_store import _objects

CLAIM_KIND = "OrderClaim"


@attrs.frozen(kw_only=True)
class _ClaimSpec:
    """The attempt that may run the order."""

    # The id of the attempt that holds the claim.
    attempt_id: str
    # The name of the search.
    search: str
    # The time at which the claim was taken, in ms since the Unix epoch.
    claimed_ms: int


@attrs.frozen(kw_only=True)
class _ClaimStatus:
    """The outcome that an attempt recorded."""

    # The id of the attempt that recorded the outcome. If it is not the id in
    # the spec, another attempt has taken over the claim since, and the recorded
    # outcome does not count.
    attempt_id: str = ""
    # The outcome of the attempt, UNKNOWN until one is recorded.
    outcome: model.Outcome = model.Outcome.UNKNOWN
    # Why the attempt was not answered.
    reason: model.Reason = model.Reason.NONE
    # The result that the server returned.
    result: Any = None


@attrs.frozen
class Claim:
    """The state of a claim after an attempt has tried to take it."""

    # Whether the attempt holds the claim and may run the order.
    granted: bool
    # The object that stores the claim.
    stored_object: _objects.StoredObject
    # The outcome that the holder recorded, UNKNOWN if it recorded none.
    outcome: model.Outcome
    # Why the holder's attempt was not answered.
    reason: model.Reason
    # The result that the server returned to the holder's attempt.
    result: Any


class ClaimStore:
    """Takes claims and records the outcomes of their orders.

    This class never deletes a claim: a key stays used for as long as the
    platform keeps the object.
    """

    def __init__(
        self, client: _client.PlatformClient, clock: model.Clock
    ) -> None:
        self._client = client
        self._clock = clock

    async def take(self, search: str, key: str, attempt_id: str) -> Claim:
        """Takes the claim of a key, or returns what its holder recorded.

        A claim whose holder recorded that the order did not run is taken over.

        Raises:
          PlatformUnavailableError: The holder of the claim is unknown. The
            claim is not granted, and this attempt must not run the order.
        """
        spec = _ClaimSpec(
            attempt_id=attempt_id,
            search=search,
            claimed_ms=self._clock.wall_time_ms(),
        )
        item = _objects.create_object(
            CLAIM_KIND, _compute_claim_name(search, key), model.to_plain(spec)
        )
        try:
            return _create_granted_claim(await self._client.create(item))
        except model.AlreadyExistsError:
            existing = await self._client.get(CLAIM_KIND, item.metadata.name)
        except model.PlatformUnavailableError:
            existing = await self._read_back(item.metadata.name)
        return await self._resolve_existing_claim(existing, item, attempt_id)

    async def record(
        self,
        claim: Claim,
        outcome: model.Outcome,
        reason: model.Reason,
        result: Any,
    ) -> None:
        """Stores the outcome, which answers later requests with the same key.

        Raises:
          PlatformError: The outcome may not have been stored. Later requests
            with the same key then get the outcome UNKNOWN.
        """
        status = _ClaimStatus(
            attempt_id=claim.stored_object.spec["attemptId"],
            outcome=outcome,
            reason=reason,
            result=result,
        )
        await self._client.update_status(
            attrs.evolve(claim.stored_object, status=model.to_plain(status))
        )

    async def _read_back(self, name: str) -> _objects.StoredObject:
        try:
            return await self._client.get(CLAIM_KIND, name)
        except model.NotFoundError as error:
            # The write may still be in flight and take effect later, so no
            # attempt may run the order.
            raise model.PlatformUnavailableError(
                "the claim was not found after a write that got no answer; send"
                " the order again",
                step="take-claim",
                peer=error.peer,
            ) from error

    async def _resolve_existing_claim(
        self,
        existing: _objects.StoredObject,
        requested: _objects.StoredObject,
        attempt_id: str,
    ) -> Claim:
        spec = model.from_plain(_ClaimSpec, existing.spec)
        if spec.attempt_id == attempt_id:
            return _create_granted_claim(existing)
        status = model.from_plain(_ClaimStatus, existing.status)
        if status.attempt_id != spec.attempt_id:
            status = _ClaimStatus()
        if status.outcome is not model.Outcome.NOT_RUN:
            return Claim(
                False, existing, status.outcome, status.reason, status.result
            )
        return await self._take_over(existing, requested, attempt_id)

    async def _take_over(
        self,
        existing: _objects.StoredObject,
        requested: _objects.StoredObject,
        attempt_id: str,
    ) -> Claim:
        """Takes over a claim whose holder did not run the order."""
        replacement = attrs.evolve(existing, spec=requested.spec)
        try:
            return _create_granted_claim(await self._client.update(replacement))
        except model.ConflictError:
            current = await self._client.get(
                CLAIM_KIND, requested.metadata.name
            )
        except model.PlatformUnavailableError:
            current = await self._read_back(requested.metadata.name)
        if current.spec.get("attemptId") == attempt_id:
            return _create_granted_claim(current)
        return Claim(
            False,
            current,
            model.Outcome.UNKNOWN,
            model.Reason.ALREADY_SENT,
            None,
        )


def _create_granted_claim(item: _objects.StoredObject) -> Claim:
    return Claim(
        True, item, model.Outcome.UNKNOWN, model.Reason.ALREADY_SENT, None
    )


def _compute_claim_name(search: str, key: str) -> str:
    digest = hashlib.blake2b(f"{search}\0{key}".encode(), digest_size=16)
    return digest.hexdigest()


def create_claim_store(
    client: _client.PlatformClient, clock: model.Clock
) -> ClaimStore:
    """Returns the store of claims."""
    return ClaimStore(client, clock)
