"""Operations of the commands on the platform's resources."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store

_MAX_TRIES = 5


@attrs.frozen
class WriteResult:
    """The result of writing one resource."""

    # The kind of the resource.
    kind: str
    # The name of the resource.
    name: str
    # One of created, changed and unchanged.
    action: str
    # The version that is stored after the operation.
    resource_version: int


async def apply_resource(
    client: store.PlatformClient,
    desired: store.StoredObject,
    operator: str,
) -> WriteResult:
    """Creates a resource or changes its spec.

    Raises:
      ConflictError: Another writer has changed the resource since the version
        that the file states, or during this call.
    """
    name = desired.metadata.name
    try:
        stored = await client.get(desired.kind, name)
    except model.NotFoundError:
        created = await client.create(
            store.create_object(desired.kind, name, desired.spec, operator)
        )
        return _create_result(created, "created")
    version = desired.metadata.resource_version
    if version and version != stored.metadata.resource_version:
        raise model.ConflictError(
            f"{desired.kind} {name} was changed by"
            f" {stored.metadata.operator} since version {version}; get the"
            " resource again and repeat your change",
            step="apply",
        )
    if stored.spec == desired.spec:
        return _create_result(stored, "unchanged")
    return await _write_spec(client, stored, desired.spec, operator)


async def change_spec(
    client: store.PlatformClient,
    kind: str,
    name: str,
    operator: str,
    change: Callable[[dict[str, Any]], dict[str, Any]],
) -> WriteResult:
    """Changes a stored spec.

    Hosts write the status of the same object, so that a conflict need not
    concern the spec: the change is applied again to what is stored then.

    Args:
      client: The client of the platform.
      kind: The kind of the resource.
      name: The name of the resource.
      operator: The name that the audit trail shows.
      change: Maps the stored spec to the new one.

    Raises:
      ConflictError: Other writers have changed the resource during each try.
      NotFoundError: There is no such resource.
    """
    tries = 0
    while True:
        stored = await client.get(kind, name)
        spec = change(dict(stored.spec))
        if spec == stored.spec:
            return _create_result(stored, "unchanged")
        try:
            return await _write_spec(client, stored, spec, operator)
        except model.ConflictError:
            tries += 1
            if tries == _MAX_TRIES:
                raise


async def _write_spec(
    client: store.PlatformClient,
    stored: store.StoredObject,
    spec: dict[str, Any],
    operator: str,
) -> WriteResult:
    annotations = {
        **stored.metadata.annotations,
        model.OPERATOR_ANNOTATION: operator,
    }
    metadata = attrs.evolve(stored.metadata, annotations=annotations)
    changed = await client.update(
        attrs.evolve(stored, metadata=metadata, spec=spec)
    )
    return _create_result(changed, "changed")


async def list_resources(
    client: store.PlatformClient, kind: str, name: str
) -> tuple[store.StoredObject, ...]:
    """Returns all resources of a kind, or the named one."""
    if name:
        return (await client.get(kind, name),)
    return (await client.list(kind)).items


async def list_audit(
    client: store.PlatformClient, name: str
) -> tuple[model.ConfigurationChange, ...]:
    """Returns the accepted changes, oldest first.

    Args:
      client: The client of the platform.
      name: The name of the resources to select; empty selects all.
    """
    listed = await client.list(store.AUDIT_KIND)
    changes = (
        model.from_plain(model.ConfigurationChange, item.spec)
        for item in listed.items
    )
    return tuple(
        sorted(
            (change for change in changes if name in ("", change.name)),
            key=lambda change: (change.number, change.kind, change.name),
        )
    )


async def watch_resources(
    client: store.PlatformClient, kind: str
) -> AsyncIterator[store.WatchEvent]:
    """Yields every resource of a kind, and then each later change."""
    listed = await client.list(kind)
    for item in listed.items:
        yield store.WatchEvent("ADDED", item)
    async for event in client.watch(kind, listed.resource_version):
        yield event


def _create_result(item: store.StoredObject, action: str) -> WriteResult:
    return WriteResult(
        item.kind,
        item.metadata.name,
        action,
        item.metadata.resource_version,
    )
