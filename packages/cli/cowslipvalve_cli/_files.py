"""Reads and checks resource files."""

import pathlib
from typing import Any

import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store


@attrs.frozen(kw_only=True)
class _Document:
    """A resource as operators write it in a file."""

    # The name of the kind.
    kind: str
    # The name and, optionally, the resource version; a stored resource that has
    # another version is not changed.
    metadata: model.Metadata
    # The desired state.
    spec: dict[str, Any] = attrs.field(factory=dict)
    # The version of the API's schema.
    api_version: str = store.API_VERSION
    # The status, which is never written. Files may contain it, so that the
    # output of "get" can be used as a file.
    status: dict[str, Any] = attrs.field(factory=dict)


def read_resources(path: str) -> tuple[store.StoredObject, ...]:
    """Returns the checked resources of a JSON file.

    The file holds one resource or a list of them.

    Raises:
      InputError: The file cannot be read or a resource has bad fields; the
        message names the file, the resource, and each field.
    """
    try:
        plain = model.decode_plain(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise model.InputError(
            f"{path}: cannot be read: {error.strerror}", step="read-file"
        ) from error
    except model.InputError as error:
        raise model.InputError(f"{path}: {error}", step="read-file") from error
    items = plain if isinstance(plain, list) else [plain]
    return tuple(
        _check_document(f"{path}: item {index}", item)
        for index, item in enumerate(items)
    )


def _check_document(location: str, plain: Any) -> store.StoredObject:
    try:
        document = model.from_plain_strict(_Document, plain)
        kind = model.KINDS.get(document.kind)
        if kind is None:
            raise model.InputError(
                f"kind must be one of {', '.join(model.KINDS)}, not"
                f" {document.kind!r}"
            )
        location += f" ({document.kind} {document.metadata.name})"
        metadata = model.to_plain(document.metadata)
        model.from_plain_strict(
            kind, {"metadata": metadata, "spec": document.spec}
        )
    except model.InputError as error:
        raise model.InputError(
            f"{location}: {error}", step="check-file"
        ) from error
    return store.StoredObject(
        kind=document.kind, metadata=document.metadata, spec=document.spec
    )
