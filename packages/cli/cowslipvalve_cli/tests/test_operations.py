"""Tests of changes beside other writers of the same object."""

import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_cli import _operations
from cowslipvalve_standins import _platformtests

_KIND = "FailureDomain"


class _BusyClient:
    """A client beside a host that writes the status after each read."""

    def __init__(self, client: store.PlatformClient, writes: int) -> None:
        self._client = client
        self._writes = writes

    async def get(self, kind: str, name: str) -> store.StoredObject:
        """Stands in for PlatformClient.get."""
        stored = await self._client.get(kind, name)
        if self._writes:
            self._writes -= 1
            await self._client.update_status(
                attrs.evolve(stored, status={"writes": self._writes})
            )
        return stored

    async def update(self, item: store.StoredObject) -> store.StoredObject:
        """Stands in for PlatformClient.update."""
        return await self._client.update(item)


class ChangeTest(_platformtests.PlatformTest):

    async def change(self, writes: int) -> _operations.WriteResult:
        """Takes a domain out while a host writes its status."""
        client: store.PlatformClient = _BusyClient(  # type: ignore[assignment]
            self.client, writes
        )
        return await _operations.change_spec(
            client,
            _KIND,
            "kuopio",
            "operator",
            lambda spec: {**spec, "placement": "out"},
        )

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.client.create(
            store.StoredObject(
                kind=_KIND,
                metadata=model.Metadata(name="kuopio"),
                spec={"region": "savo"},
            )
        )

    async def test_change_beside_a_status_write_is_applied(self) -> None:
        result = await self.change(writes=2)
        self.assertEqual(result.action, "changed")
        stored = await self.client.get(_KIND, "kuopio")
        self.assertEqual(stored.spec, {"region": "savo", "placement": "out"})
        self.assertEqual(stored.status, {"writes": 0})

    async def test_change_beside_endless_writes_fails(self) -> None:
        with self.assertRaises(model.ConflictError):
            await self.change(writes=100)
