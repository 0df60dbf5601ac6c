"""The accepted configuration, which all hosts use, and its deltas."""

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

    # The number of the first configuration that includes the change.
    number: int
    # The kind of the changed resource.
    kind: str
    # The name of the changed resource.
    name: str
    # The operator who made the change.
    operator: str
    # The spec before the change as JSON text, empty for a new resource.
    before: str
    # The spec after the change as JSON text, empty for a deleted resource.
    after: str
    # The time at which the change was accepted, in ms since the Unix epoch.
    accepted_ms: int


@attrs.frozen(kw_only=True)
class Configuration:
    """A numbered set of resources; hosts only change to higher numbers."""

    # Increases by one with every accepted change; zero means that no
    # configuration has been accepted yet.
    number: int = 0
    # The searches by name.
    searches: Mapping[str, _resources.Search] = attrs.field(factory=dict)
    # The backend servers by name.
    servers: Mapping[str, _resources.BackendServer] = attrs.field(factory=dict)
    # The failure domains by name.
    domains: Mapping[str, _resources.FailureDomain] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ConfigurationDelta:
    """The difference between a configuration and one with a higher number."""

    # The number of the configuration that the delta applies to; zero if the
    # delta holds the whole new configuration.
    base: int
    # The number of the new configuration.
    number: int
    # New and changed searches.
    searches: tuple[_resources.Search, ...] = ()
    # New and changed backend servers.
    servers: tuple[_resources.BackendServer, ...] = ()
    # New and changed failure domains.
    domains: tuple[_resources.FailureDomain, ...] = ()
    # The kind and name of each removed resource.
    removed: tuple[tuple[str, str], ...] = ()


def apply_delta(
    configuration: Configuration, delta: ConfigurationDelta
) -> Configuration:
    """Returns the configuration with the delta applied.

    A delta that is not newer than the configuration, or whose base is another
    number, changes nothing; in the second case the caller has to request a full
    delta.
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
    """Returns the delta from one configuration to another."""
    return ConfigurationDelta(
        base=old.number,
        number=new.number,
        searches=_select_changed(old.searches, new.searches),
        servers=_select_changed(old.servers, new.servers),
        domains=_select_changed(old.domains, new.domains),
        removed=(
            *_find_removed("Search", old.searches, new.searches),
            *_find_removed("BackendServer", old.servers, new.servers),
            *_find_removed("FailureDomain", old.domains, new.domains),
        ),
    )


def compute_full_delta(configuration: Configuration) -> ConfigurationDelta:
    """Returns a delta that holds the whole configuration."""
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


def _select_changed(
    old: Mapping[str, _R], new: Mapping[str, _R]
) -> tuple[_R, ...]:
    return tuple(item for name, item in new.items() if old.get(name) != item)


def _find_removed(
    kind: str, old: Mapping[str, _R], new: Mapping[str, _R]
) -> tuple[tuple[str, str], ...]:
    return tuple((kind, name) for name in old if name not in new)
