"""Watches operators' resources and commits accepted configurations."""

import asyncio
import contextlib
import logging

import mode

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_daemon import _compilers
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics

_LOGGER = logging.getLogger(__name__)
_RETRY_MS = 500  # The wait before retrying after a platform failure.
_ROLE_CHECK_MS = 500
_RELOAD_MS = 10_000  # Bounds the effect of another watcher's commit.
_RELIST_MS = 10_000  # Bounds the effect of an event that a watch lost.
_DEBOUNCE_MS = 50  # Changes within this time go into one configuration.
_WATCHERS_PER_DOMAIN = 2
WATCHER_ROLE_KEY = "platform-watcher"


class PlatformWatcher(mode.Service):
    """Watches the platform's resources and commits new configurations.

    The service is active on a few hosts of each failure domain. Every active
    watcher compiles the resources and tries to commit the result. The commit
    is a conditional write of the configuration's head object, so that exactly
    one watcher succeeds; the others load the configuration that it wrote.
    """

    def __init__(
        self,
        client: store.PlatformClient,
        configuration_store: store.ConfigurationStore,
        configurations: _configurations.ConfigurationHolder,
        memberships: _memberships.Memberships,
        metrics: _metrics.Metrics,
        clock: model.Clock,
    ) -> None:
        super().__init__()
        self._client = client
        self._store = configuration_store
        self._configurations = configurations
        self._memberships = memberships
        self._metrics = metrics
        self._clock = clock
        self._objects: dict[tuple[str, str], store.StoredObject] = {}
        self._listed_kinds: set[str] = set()
        self._changed = asyncio.Event()
        self._audited_number = 0
        self.rejections: tuple[_compilers.Rejection, ...] = ()

    @property
    def is_watching(self) -> bool:
        """Whether this host is one of the watchers of its failure domain."""
        return self._memberships.has_role(
            WATCHER_ROLE_KEY, _WATCHERS_PER_DOMAIN
        )

    def get_object(self, kind: str, name: str) -> store.StoredObject | None:
        """Returns the last version of a resource that this host has read."""
        return self._objects.get((kind, name))

    @mode.Service.task
    async def _watch_searches(self) -> None:
        await self._watch_kind("Search")

    @mode.Service.task
    async def _watch_servers(self) -> None:
        await self._watch_kind("BackendServer")

    @mode.Service.task
    async def _watch_domains(self) -> None:
        await self._watch_kind("FailureDomain")

    @mode.Service.task
    async def _accept_changes(self) -> None:
        while not self.should_stop:
            await self._wait_for_change()
            if not self.is_watching or len(self._listed_kinds) < len(
                model.KINDS
            ):
                continue
            try:
                await self._load_and_commit()
            except model.ConflictError:
                self._changed.set()
            except model.CowslipvalveError as error:
                self._report_failure("accept", error)
                self._changed.set()
                await self.sleep(model.to_seconds(_RETRY_MS))

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(
                self._changed.wait(), model.to_seconds(_RELOAD_MS)
            )
        await self._clock.sleep_ms(_DEBOUNCE_MS)
        self._changed.clear()

    async def _load_and_commit(self) -> None:
        """Loads the accepted configuration and commits the next one, if any.

        Raises:
          ConflictError: Another watcher has committed since the load.
          CowslipvalveError: The platform failed.
        """
        stored = await self._store.load()
        if stored.configuration.number > self._configurations.current.number:
            self._configurations.install(
                model.compute_full_delta(stored.configuration)
            )
        compilation = _compilers.compile_configuration(
            stored.configuration,
            tuple(self._objects.values()),
            self._clock.wall_time_ms(),
        )
        self.rejections = compilation.rejections
        if not compilation.changes:
            await self._complete_audit(stored.head)
            return
        committed = await self._store.commit(
            stored, compilation.configuration, compilation.changes
        )
        self._configurations.install(
            model.compute_full_delta(committed.configuration)
        )
        # The next pass checks that all audit records were written.
        self._changed.set()
        for change in compilation.changes:
            model.log_event(
                _LOGGER,
                "configuration-accepted",
                number=change.number,
                kind=change.kind,
                resource=change.name,
                operator=change.operator,
            )

    async def _complete_audit(self, head: store.ConfigurationHead) -> None:
        """Writes the audit records that a failed committer left out.

        Checks each configuration number once, on the first-ranked watcher of
        each failure domain.
        """
        if (
            head.number == self._audited_number
            or not self._memberships.has_role(WATCHER_ROLE_KEY, 1)
        ):
            return
        await self._store.complete_audit(head, self._audited_number)
        self._audited_number = head.number

    async def _watch_kind(self, kind: str) -> None:
        while not self.should_stop:
            if not self.is_watching:
                self._listed_kinds.discard(kind)
                await self.sleep(model.to_seconds(_ROLE_CHECK_MS))
                continue
            try:
                await self._list_and_watch(kind)
            except model.NotFoundError:
                continue
            except model.CowslipvalveError as error:
                self._report_failure(f"watch-{kind}", error)
                await self.sleep(model.to_seconds(_RETRY_MS))

    async def _list_and_watch(self, kind: str) -> None:
        listed = await self._client.list(kind)
        self._replace_objects(kind, listed.items)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(model.to_seconds(_RELIST_MS)):
                await self._watch_from(kind, listed.resource_version)

    async def _watch_from(self, kind: str, resource_version: int) -> None:
        async for event in self._client.watch(kind, resource_version):
            self._apply_event(event)
            if not self.is_watching:
                return

    def _replace_objects(
        self, kind: str, items: tuple[store.StoredObject, ...]
    ) -> None:
        for key in [key for key in self._objects if key[0] == kind]:
            del self._objects[key]
        for item in items:
            self._objects[(kind, item.metadata.name)] = item
            self._announce_placement(item)
        self._listed_kinds.add(kind)
        self._changed.set()

    def _apply_event(self, event: store.WatchEvent) -> None:
        item = event.object
        key = (item.kind, item.metadata.name)
        old = self._objects.get(key)
        if event.type == "DELETED":
            self._objects.pop(key, None)
            self._changed.set()
            return
        self._objects[key] = item
        self._announce_placement(item)
        if old is None or old.metadata.generation != item.metadata.generation:
            self._changed.set()

    def _announce_placement(self, item: store.StoredObject) -> None:
        """Announces a changed placement to all hosts before it is accepted."""
        try:
            resource = _compilers.check_resource(item)
        except model.InputError:
            return
        if isinstance(resource, model.Search):
            return
        out = resource.spec.placement is model.Placement.OUT
        known_out = self._is_known_out(resource)
        if out != known_out:
            self._configurations.announce_placement(
                item.kind, item.metadata, out
            )

    def _is_known_out(
        self, resource: model.BackendServer | model.FailureDomain
    ) -> bool:
        if isinstance(resource, model.FailureDomain):
            return self._configurations.is_domain_out(resource.metadata.name)
        return self._configurations.is_own_placement_out(resource)

    def _report_failure(
        self, step: str, error: model.CowslipvalveError
    ) -> None:
        self._metrics.platform_failures.add(1, {"step": step})
        model.log_event(
            _LOGGER,
            "platform-failure",
            logging.WARNING,
            step=step,
            error=error,
            peer=error.peer,
        )


def create_platform_watcher(
    client: store.PlatformClient,
    configurations: _configurations.ConfigurationHolder,
    memberships: _memberships.Memberships,
    metrics: _metrics.Metrics,
    clock: model.Clock,
) -> PlatformWatcher:
    """Creates the platform watcher of this host."""
    return PlatformWatcher(
        client,
        store.create_configuration_store(client),
        configurations,
        memberships,
        metrics,
        clock,
    )
