"""Tests of the storage of the accepted configuration."""

import asyncio

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_standins import _platformtests


def _create_configuration(number: int, servers: int = 1) -> model.Configuration:
    spec = model.BackendServerSpec(
        failure_domain="kuopio", address="10.0.0.1:9000", searches=("s",)
    )
    return model.Configuration(
        number=number,
        servers={
            f"server-{index}": model.BackendServer(
                metadata=model.Metadata(name=f"server-{index}"), spec=spec
            )
            for index in range(servers)
        },
    )


def _create_changes(number: int) -> tuple[model.ConfigurationChange, ...]:
    return (
        model.ConfigurationChange(
            number=number,
            kind="Search",
            name="s",
            operator="aino",
            before="",
            after="{}",
            accepted_ms=1,
        ),
    )


class ConfigurationStoreTest(_platformtests.PlatformTest):

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = store.create_configuration_store(self.client)

    async def commit(self, number: int, servers: int = 1) -> None:
        await self.store.commit(
            await self.store.load(),
            _create_configuration(number, servers),
            _create_changes(number),
        )

    async def test_missing_configuration_has_number_zero(self) -> None:
        self.assertEqual((await self.store.load()).configuration.number, 0)

    async def test_configuration_over_a_megabyte_is_kept_in_parts(
        self,
    ) -> None:
        await self.commit(1, servers=5_600)
        stored = await self.store.load()
        self.assertEqual(stored.configuration, _create_configuration(1, 5_600))
        self.assertGreater(len(stored.head.parts), 1)
        await self.commit(2)
        parts = await self.client.list(store.PART_KIND)
        self.assertEqual(len(parts.items), 1)

    async def test_one_of_racing_commits_wins(self) -> None:
        await self.commit(1)
        old = await self.store.load()
        results = await asyncio.gather(
            *(
                self.store.commit(
                    old, _create_configuration(2), _create_changes(2)
                )
                for _ in range(6)
            ),
            return_exceptions=True,
        )
        lost = [r for r in results if isinstance(r, model.ConflictError)]
        self.assertEqual(len(lost), 5)
        self.assertEqual((await self.store.load()).configuration.number, 2)

    async def test_commit_succeeds_if_the_head_response_is_lost(self) -> None:
        await self.commit(1)
        old = await self.store.load()
        real_update = self.client.update

        async def update(item: store.StoredObject) -> store.StoredObject:
            await real_update(item)
            raise model.PlatformUnavailableError("the answer was lost")

        self.client.update = update  # type: ignore[method-assign]
        stored = await self.store.commit(
            old, _create_configuration(2), _create_changes(2)
        )
        self.assertEqual(stored.configuration.number, 2)

    async def test_missing_audit_records_are_written_once(self) -> None:
        await self.commit(1)
        listed = await self.client.list(store.AUDIT_KIND)
        await self.client.delete(
            store.AUDIT_KIND, listed.items[0].metadata.name
        )
        head = (await self.store.load()).head
        for _ in range(2):
            await self.store.complete_audit(head)
        listed = await self.client.list(store.AUDIT_KIND)
        self.assertEqual(len(listed.items), 1)
        self.assertEqual(listed.items[0].spec["operator"], "aino")

    async def test_each_missing_audit_record_is_written(self) -> None:
        # The write of a record can fail while a later one succeeds.
        for number in (1, 2, 3):
            await self.commit(number)
        listed = await self.client.list(store.AUDIT_KIND)
        names = {item.metadata.name for item in listed.items}
        await self.client.delete(store.AUDIT_KIND, min(names))
        head = (await self.store.load()).head
        await self.store.complete_audit(head)
        listed = await self.client.list(store.AUDIT_KIND)
        self.assertEqual({item.metadata.name for item in listed.items}, names)
