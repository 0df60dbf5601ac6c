"""Prints results as tables or as JSON."""

import datetime
import enum
from collections.abc import Sequence
from typing import Any

import orjson
import tabulate

import cowslipvalve_model as model
import cowslipvalve_store as store

_MS_PER_SECOND = 1_000
_MAX_CELL_CHARACTERS = 60


class Format(enum.Enum):
    """The formats of the output."""

    TABLE = "table"
    JSON = "json"


def print_rows(rows: Sequence[Any], output: Format) -> None:
    """Prints one row for each attrs value."""
    plain = [model.to_plain(row) for row in rows]
    if output is Format.JSON:
        _print_json(plain)
    else:
        print(tabulate.tabulate(plain, headers="keys", tablefmt="plain"))


def print_resources(
    items: Sequence[store.StoredObject], output: Format
) -> None:
    """Prints resources with a summary of their status."""
    if output is Format.JSON:
        _print_json([model.to_plain(item) for item in items])
        return
    rows = [_summarize(item) for item in items]
    print(tabulate.tabulate(rows, headers="keys", tablefmt="plain"))


def print_description(item: store.StoredObject) -> None:
    """Prints all fields of one resource as JSON."""
    _print_json(model.to_plain(item))


def print_changes(
    changes: Sequence[model.ConfigurationChange], output: Format
) -> None:
    """Prints the audit trail."""
    if output is Format.JSON:
        _print_json([model.to_plain(change) for change in changes])
        return
    rows = [
        {
            "number": change.number,
            "when": _format_time(change.accepted_ms),
            "who": change.operator,
            "what": f"{change.kind} {change.name}",
            "change": _summarize_change(change),
        }
        for change in changes
    ]
    print(tabulate.tabulate(rows, headers="keys", tablefmt="plain"))


def _summarize(item: store.StoredObject) -> dict[str, Any]:
    status = dict(item.status)
    conditions = status.pop("conditions", [])
    observed = status.pop("observedGeneration", 0)
    accepted = next(
        (c for c in conditions if c["type"] == "Accepted"), {"status": "?"}
    )
    if observed < item.metadata.generation:
        accepted = {"status": "pending"}
    row = {
        "name": item.metadata.name,
        "version": item.metadata.resource_version,
        "accepted": accepted["status"],
        "placement": item.spec.get("placement", "in"),
    }
    row.update({key: _format_cell(value) for key, value in status.items()})
    if accepted.get("message"):
        row["message"] = accepted["message"]
    return row


def _summarize_change(change: model.ConfigurationChange) -> str:
    if not change.before:
        return "new"
    if not change.after:
        return "deleted"
    before = orjson.loads(change.before)
    after = orjson.loads(change.after)
    changed = [
        f"{key}: {before.get(key)} -> {after.get(key)}"
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]
    return "; ".join(changed)


def _format_cell(value: Any) -> str:
    text = ",".join(value) if isinstance(value, list) else str(value)
    return (
        text
        if len(text) <= _MAX_CELL_CHARACTERS
        else text[: _MAX_CELL_CHARACTERS - 3] + "..."
    )


def _format_time(time_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(
        time_ms / _MS_PER_SECOND, tz=datetime.UTC
    )
    return time.isoformat(timespec="seconds")


def _print_json(plain: Any) -> None:
    option = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    print(orjson.dumps(plain, option=option).decode())
