"""Compiles operators' resources into the next configuration."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_daemon import _configurations


@attrs.frozen
class Rejection:
    """A resource with an invalid spec; its accepted spec stays in force."""

    # The kind of the resource.
    kind: str
    # The name of the resource.
    name: str
    # The rejected generation.
    generation: int
    # What is wrong with the spec and how to correct it.
    message: str


@attrs.frozen
class Compilation:
    """The result of compiling a set of resources."""

    # The next configuration, or the old one if nothing changed.
    configuration: model.Configuration
    # One audit entry per changed resource.
    changes: tuple[model.ConfigurationChange, ...]
    # The rejected resources.
    rejections: tuple[Rejection, ...]


def check_resource(item: store.StoredObject) -> model.Resource:
    """Validates a stored object and returns it as a typed resource.

    Raises:
      InputError: The kind is unknown, or the spec has invalid fields, which
        the message names.
    """
    kind = model.KINDS.get(item.kind)
    if kind is None:
        raise model.InputError(
            f"kind {item.kind!r} is unknown; use one of"
            f" {', '.join(model.KINDS)}",
            step="check-kind",
        )
    plain = {"metadata": model.to_plain(item.metadata), "spec": item.spec}
    return model.from_plain_strict(kind, plain)


def compile_configuration(
    old: model.Configuration,
    items: Iterable[store.StoredObject],
    now_ms: int,
) -> Compilation:
    """Compiles the stored resources into the next configuration.

    Args:
      old: The accepted configuration.
      items: All stored resources; a resource that is missing here is removed.
      now_ms: The time to note in the changes, in ms since the Unix epoch.
    """
    accepted: dict[str, dict[str, Any]] = {kind: {} for kind in model.KINDS}
    rejections = []
    for item in items:
        name = item.metadata.name
        try:
            resource = check_resource(item)
            accepted[item.kind][name] = _configurations.accept_resource(
                resource, old.number + 1
            )
        except model.InputError as error:
            rejections.append(
                Rejection(item.kind, name, item.metadata.generation, str(error))
            )
            last = _get_resources(old, item.kind).get(name)
            if last is not None:
                accepted[item.kind][name] = last
    _keep_unchanged(old, accepted)
    changes = _compute_changes(old, accepted, now_ms)
    if not changes:
        return Compilation(old, (), tuple(rejections))
    configuration = model.Configuration(
        number=old.number + 1,
        searches=accepted["Search"],
        servers=accepted["BackendServer"],
        domains=accepted["FailureDomain"],
    )
    return Compilation(configuration, changes, tuple(rejections))


def _get_resources(
    configuration: model.Configuration, kind: str
) -> Mapping[str, model.Resource]:
    by_kind: Mapping[str, Mapping[str, model.Resource]] = {
        "Search": configuration.searches,
        "BackendServer": configuration.servers,
        "FailureDomain": configuration.domains,
    }
    return by_kind.get(kind, {})


def _keep_unchanged(
    old: model.Configuration, accepted: dict[str, dict[str, Any]]
) -> None:
    """Keeps the accepted version of each resource whose spec is unchanged.

    Updates of the status or annotations change the resource version without
    changing the spec.
    """
    for kind, resources in accepted.items():
        for name, last in _get_resources(old, kind).items():
            new = resources.get(name)
            if new is not None and new.spec == last.spec:
                resources[name] = last


def _compute_changes(
    old: model.Configuration, accepted: dict[str, dict[str, Any]], now_ms: int
) -> tuple[model.ConfigurationChange, ...]:
    changes = []
    for kind, resources in accepted.items():
        before = _get_resources(old, kind)
        for name in sorted(before.keys() | resources.keys()):
            last, new = before.get(name), resources.get(name)
            if last == new:
                continue
            changes.append(
                model.ConfigurationChange(
                    number=old.number + 1,
                    kind=kind,
                    name=name,
                    operator=new.metadata.operator if new else "unknown",
                    before=model.encode(last.spec).decode() if last else "",
                    after=model.encode(new.spec).decode() if new else "",
                    accepted_ms=now_ms,
                )
            )
    return tuple(changes)
