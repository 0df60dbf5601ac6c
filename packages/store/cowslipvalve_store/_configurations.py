"""Storage of the accepted configuration in the platform."""

import logging
import uuid

import attrs

import cowslipvalve_model as model
from cowslipvalve_store import _client
from cowslipvalve_store import _objects

_LOGGER = logging.getLogger(__name__)
HEAD_KIND = "AcceptedConfiguration"
PART_KIND = "ConfigurationPart"
AUDIT_KIND = "AuditRecord"
HEAD_NAME = "current"
# The platform's values hold up to 1 MB, including the escapes of JSON text.
MAX_PART_CHARACTERS = 700_000
# The head keeps changes whose audit records may not have been written yet.
MAX_HEAD_CHANGES = 50


@attrs.frozen(kw_only=True)
class ConfigurationHead:
    """The object that names the accepted configuration."""

    # The number of the accepted configuration.
    number: int
    # The id of the commit that wrote the head. It shows whether a write whose
    # response was lost has taken effect.
    attempt_id: str
    # The names of the objects that hold the configuration's text, in order.
    parts: tuple[str, ...]
    # The newest changes, oldest first.
    changes: tuple[model.ConfigurationChange, ...] = ()


@attrs.frozen(kw_only=True)
class _Part:
    """An object that holds a part of the text of a configuration."""

    # A slice of the configuration's JSON text.
    text: str


@attrs.frozen(kw_only=True)
class StoredConfiguration:
    """The accepted configuration with its head."""

    # The accepted configuration.
    configuration: model.Configuration
    # The head that names it.
    head: ConfigurationHead
    # The version of the head, which the next commit has to replace; zero if
    # no head is stored.
    resource_version: int


class ConfigurationStore:
    """Loads and commits the accepted configuration."""

    def __init__(self, client: _client.PlatformClient) -> None:
        self._client = client

    async def load(self) -> StoredConfiguration:
        """Returns the accepted configuration, number zero if none is stored."""
        try:
            item = await self._client.get(HEAD_KIND, HEAD_NAME)
        except model.NotFoundError:
            head = ConfigurationHead(number=0, attempt_id="", parts=())
            return StoredConfiguration(
                configuration=model.Configuration(),
                head=head,
                resource_version=0,
            )
        head = model.from_plain(ConfigurationHead, item.spec)
        text = ""
        for name in head.parts:
            stored = await self._client.get(PART_KIND, name)
            text += model.from_plain(_Part, stored.spec).text
        return StoredConfiguration(
            configuration=model.decode(model.Configuration, text.encode()),
            head=head,
            resource_version=item.metadata.resource_version,
        )

    async def commit(
        self,
        old: StoredConfiguration,
        configuration: model.Configuration,
        changes: tuple[model.ConfigurationChange, ...],
    ) -> StoredConfiguration:
        """Makes a configuration the accepted one.

        Raises:
          ConflictError: Another host has committed since the load.
          PlatformUnavailableError: It is unknown whether the commit took
            effect; the caller has to load the configuration again.
        """
        attempt_id = uuid.uuid4().hex
        parts = await self._write_parts(configuration, attempt_id)
        head = ConfigurationHead(
            number=configuration.number,
            attempt_id=attempt_id,
            parts=parts,
            changes=(*old.head.changes, *changes)[-MAX_HEAD_CHANGES:],
        )
        try:
            version = await self._write_head(head, old.resource_version)
        except model.ConflictError:
            await self._delete_parts(parts)
            raise
        await self._write_audit_records(changes)
        await self._delete_parts(old.head.parts)
        return StoredConfiguration(
            configuration=configuration, head=head, resource_version=version
        )

    async def complete_audit(
        self, head: ConfigurationHead, audited_number: int = 0
    ) -> None:
        """Writes the audit records that commits left unwritten.

        Each record is looked up, because any write can fail alone.

        Args:
          head: The head, which keeps the newest changes.
          audited_number: The number up to which all records are known to exist.
        """
        missing = []
        for change in head.changes:
            if change.number <= audited_number:
                continue
            try:
                await self._client.get(AUDIT_KIND, _compute_record_name(change))
            except model.NotFoundError:
                missing.append(change)
        await self._write_audit_records(tuple(missing))

    async def _write_parts(
        self, configuration: model.Configuration, attempt_id: str
    ) -> tuple[str, ...]:
        text = model.encode(configuration).decode()
        pieces = [
            text[start : start + MAX_PART_CHARACTERS]
            for start in range(0, len(text), MAX_PART_CHARACTERS)
        ]
        names = []
        for index, piece in enumerate(pieces):
            name = f"{attempt_id}-{index}"
            spec = model.to_plain(_Part(text=piece))
            await self._client.create(
                _objects.create_object(PART_KIND, name, spec)
            )
            names.append(name)
        return tuple(names)

    async def _write_head(
        self, head: ConfigurationHead, resource_version: int
    ) -> int:
        item = _objects.create_object(
            HEAD_KIND, HEAD_NAME, model.to_plain(head)
        )
        try:
            if resource_version == 0:
                stored = await self._client.create(item)
            else:
                metadata = attrs.evolve(
                    item.metadata, resource_version=resource_version
                )
                stored = await self._client.update(
                    attrs.evolve(item, metadata=metadata)
                )
        except model.AlreadyExistsError as error:
            raise model.ConflictError(
                str(error), step="commit-configuration", peer=error.peer
            ) from error
        except model.PlatformUnavailableError:
            stored = await self._read_back(head.attempt_id)
        return stored.metadata.resource_version

    async def _read_back(self, attempt_id: str) -> _objects.StoredObject:
        """Returns the head if the write whose response was lost took effect."""
        stored = await self._client.get(HEAD_KIND, HEAD_NAME)
        if stored.spec.get("attemptId") != attempt_id:
            raise model.ConflictError(
                "the stored configuration is not from this commit",
                step="commit-configuration",
            )
        return stored

    async def _write_audit_records(
        self, changes: tuple[model.ConfigurationChange, ...]
    ) -> None:
        for change in changes:
            item = _objects.create_object(
                AUDIT_KIND, _compute_record_name(change), model.to_plain(change)
            )
            try:
                await self._client.create(item)
            except model.PlatformError as error:
                # The head keeps the change, from which complete_audit() writes
                # the record later.
                _log_failed_write(item.metadata.name, error)

    async def _delete_parts(self, names: tuple[str, ...]) -> None:
        for name in names:
            try:
                await self._client.delete(PART_KIND, name)
            except model.PlatformError as error:
                # A part that could not be deleted is never read again.
                _log_failed_write(name, error)


def _log_failed_write(name: str, error: model.PlatformError) -> None:
    model.log_event(
        _LOGGER,
        "platform-write-failed",
        logging.WARNING,
        object=name,
        step=error.step,
        peer=error.peer,
        error=error,
    )


def _compute_record_name(change: model.ConfigurationChange) -> str:
    return f"{change.number:08d}-{change.kind.lower()}-{change.name}"


def create_configuration_store(
    client: _client.PlatformClient,
) -> ConfigurationStore:
    """Returns the store of the accepted configuration."""
    return ConfigurationStore(client)
