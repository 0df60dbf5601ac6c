"""Objects as the platform stores them."""

from typing import Any

import attrs

import cowslipvalve_model as model

API_VERSION = "cowslipvalve/v1"


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object of any kind, its spec and status unread."""

    # The name of the kind, such as "Search".
    kind: str
    # The name, version, generation and annotations.
    metadata: model.Metadata
    # What the writer wants.
    spec: dict[str, Any] = attrs.field(factory=dict)
    # What the hosts found.
    status: dict[str, Any] = attrs.field(factory=dict)
    # The version of the API's schema.
    api_version: str = API_VERSION


@attrs.frozen
class ObjectList:
    """All objects of a kind at one version of the store."""

    # The objects in order of their names.
    items: tuple[StoredObject, ...]
    # The version from which a watch goes on.
    resource_version: int


@attrs.frozen
class WatchEvent:
    """A change that a watch reports."""

    # One of ADDED, MODIFIED, DELETED.
    type: str
    # The object after the change, or before it was deleted.
    object: StoredObject


@attrs.frozen
class ListedHost:
    """A host in the platform's lagging list."""

    # The name of the host.
    name: str
    # The host and port on which it hears its peers.
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
    """Returns an object that is not yet stored."""
    annotations = {model.OPERATOR_ANNOTATION: operator} if operator else {}
    return StoredObject(
        kind=kind,
        metadata=model.Metadata(name=name, annotations=annotations),
        spec=spec,
    )
