"""The accepted configuration that all hosts run by."""

from collections.abc import Mapping
from typing import TypeVar

import attrs

from cowslipvalve_model import _resources

_R = TypeVar(
    "_R",
    _resources.Search,
    _resources.BackendServer,
    _resources.FailureDomain,
)


@attrs.frozen(kw_only=True)
class ConfigurationChange:
    """One line of the audit trail."""

    # The number of the configuration that first held the change.
    number: int
    # The kind of the changed resource.
    kind: str
    # The name of the changed resource.
    name: str
    # The operator who wrote it.
    operator: str
    # The spec before as JSON text, empty for a new resource.
    before: str
    # The spec after as JSON text, empty for a deleted resource.
    after: str
    # When it was accepted, in ms since the Unix epoch.
    accepted_ms: int


@attrs.frozen(kw_only=True)
class Configuration:
    """A numbered set of resources; hosts only move to higher numbers."""

    # Grows by one with every accepted change; zero is none yet.
    number: int = 0
    # The searches by name.
    searches: Mapping[str, _resources.Search] = attrs.field(factory=dict)
    # The backend servers by name.
    servers: Mapping[str, _resources.BackendServer] = attrs.field(factory=dict)
    # The failure domains by name.
    domains: Mapping[str, _resources.FailureDomain] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ConfigurationDelta:
    """What brings a configuration from one number to a higher one."""

    # The number that the delta starts from; zero holds everything.
    base: int
    # The number that it leads to.
    number: int
    # New and changed resources.
    searches: tuple[_resources.Search, ...] = ()
    # New and changed backend servers.
    servers: tuple[_resources.BackendServer, ...] = ()
    # New and changed failure domains.
    domains: tuple[_resources.FailureDomain, ...] = ()
    # Pairs of kind and name that are gone.
    removed: tuple[tuple[str, str], ...] = ()


def apply_delta(
    configuration: Configuration, delta: ConfigurationDelta
) -> Configuration:
    """Returns the configuration that the delta leads to.

    A delta that is older, or that starts from another number, changes nothing:
    the caller asks for a complete one.
    """
    if delta.number <= configuration.number:
        return configuration
    if delta.base not in (0, configuration.number):
        return configuration
    old = configuration if delta.base else Configuration()
    removed = set(delta.removed)
    return Configuration(
        number=delta.number,
        searches=_merge("Search", old.searches, delta.searches, removed),
        servers=_merge("BackendServer", old.servers, delta.servers, removed),
        domains=_merge("FailureDomain", old.domains, delta.domains, removed),
    )


def compute_delta(old: Configuration, new: Configuration) -> ConfigurationDelta:
    """Returns the delta that leads from one configuration to another."""
    return ConfigurationDelta(
        base=old.number,
        number=new.number,
        searches=_changed(old.searches, new.searches),
        servers=_changed(old.servers, new.servers),
        domains=_changed(old.domains, new.domains),
        removed=(
            *_missing("Search", old.searches, new.searches),
            *_missing("BackendServer", old.servers, new.servers),
            *_missing("FailureDomain", old.domains, new.domains),
        ),
    )


def compute_full_delta(configuration: Configuration) -> ConfigurationDelta:
    """Returns the delta that holds the whole configuration."""
    return attrs.evolve(compute_delta(Configuration(), configuration), base=0)


def _merge(
    kind: str,
    old: Mapping[str, _R],
    changed: tuple[_R, ...],
    removed: set[tuple[str, str]],
) -> Mapping[str, _R]:
    merged = {
        name: item for name, item in old.items() if (kind, name) not in removed
    }
    merged.update((item.metadata.name, item) for item in changed)
    return merged


def _changed(old: Mapping[str, _R], new: Mapping[str, _R]) -> tuple[_R, ...]:
    return tuple(item for name, item in new.items() if old.get(name) != item)


def _missing(
    kind: str, old: Mapping[str, _R], new: Mapping[str, _R]
) -> tuple[tuple[str, str], ...]:
    return tuple((kind, name) for name in old if name not in new)
