"""Objects as the platform stores them."""

from typing import Any

import attrs

import cowslipvalve_model as model

API_VERSION = "cowslipvalve/v1"


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object of any kind, with its spec and status as plain JSON data."""

    # The name of the kind, such as "Search".
    kind: str
    # The name, version, generation and annotations.
    metadata: model.Metadata
    # The desired state.
    spec: dict[str, Any] = attrs.field(factory=dict)
    # The state that the hosts observed.
    status: dict[str, Any] = attrs.field(factory=dict)
    # The version of the API's schema.
    api_version: str = API_VERSION


@attrs.frozen
class ObjectList:
    """All objects of a kind at one version of the store."""

    # The objects in order of their names.
    items: tuple[StoredObject, ...]
    # The version of the store, from which a watch can continue.
    resource_version: int


@attrs.frozen
class WatchEvent:
    """A change that a watch reports."""

    # One of ADDED, MODIFIED and DELETED.
    type: str
    # The object after the change, or its last state if it was deleted.
    object: StoredObject


@attrs.frozen
class ListedHost:
    """A host in the platform's list, which may be out of date."""

    # The name of the host.
    name: str
    # The host and port on which the host listens for its peers.
    address: str
    # Either live or leaving.
    state: str


@attrs.frozen
class HostList:
    """The platform's list of hosts."""

    # Live and leaving hosts.
    items: tuple[ListedHost, ...]


def create_object(
    kind: str, name: str, spec: dict[str, Any], operator: str = ""
) -> StoredObject:
    """Returns a new object, without storing it."""
    annotations = {model.OPERATOR_ANNOTATION: operator} if operator else {}
    return StoredObject(
        kind=kind,
        metadata=model.Metadata(name=name, annotations=annotations),
        spec=spec,
    )
