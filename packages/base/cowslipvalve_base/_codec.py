"""JSON encoding and decoding of attrs classes, with camelCase field names.

"Plain" data consists of the dicts, lists and scalars that JSON can represent.
"""

import enum
import functools
import re
import typing
from typing import Any, TypeVar

import attrs
import cattrs
import orjson
from cattrs import gen
from cattrs.preconf import orjson as cattrs_orjson

from cowslipvalve_base import _errors

_T = TypeVar("_T")


def to_camel_case(name: str) -> str:
    """Converts a field name to its JSON name, such as maxConnections."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _structure_scalar_strictly(value: Any, kind: type) -> Any:
    """Checks a scalar's type without the conversions of its constructor."""
    if issubclass(kind, enum.Enum):
        return _structure_enum(value, kind)
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, not {value!r:.60}")
    return value


def _structure_scalar(value: Any, kind: type) -> Any:
    """Rejects a scalar of another type, which cattrs would convert."""
    if value.__class__ is kind:
        return value
    if issubclass(kind, enum.Enum):
        # cattrs also applies the hook of str or int to enums derived from it.
        return kind(value)
    if kind is float and value.__class__ is int:
        return value
    raise ValueError(f"expected {kind.__name__}, not {value!r:.60}")


def _is_homogeneous_tuple(kind: Any) -> bool:
    arguments = typing.get_args(kind)
    return typing.get_origin(kind) is tuple and arguments[1:] == (...,)


def _structure_list(converter: cattrs.Converter, value: Any, kind: Any) -> Any:
    """Rejects strings, which would otherwise be read as lists of characters."""
    if not isinstance(value, (list, tuple)):
        raise ValueError(f"expected a list, not {value!r:.60}")
    element: Any = typing.get_args(kind)[0]
    as_list: Any = list.__class_getitem__(element)
    return tuple(converter.structure(value, as_list))


def _structure_enum(value: Any, kind: type[enum.Enum]) -> Any:
    try:
        return kind(value)
    except ValueError:
        members = ", ".join(str(member) for member in kind)
        raise ValueError(f"write one of {members}, not {value!r}") from None


def _describe_error(error: BaseException, kind: type | None) -> str:
    """Describes a field error to the author of the document."""
    if isinstance(error, KeyError):
        return f"{to_camel_case(str(error.args[0]))} is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown field {names}"
    if isinstance(error, (ValueError, TypeError)):
        text = str(error.args[0]) if error.args else str(error)
        # Validators name the Python attribute; the author knows the JSON field.
        return re.sub(r"'([a-z]+(?:_[a-z]+)+)'", _quote_json_name, text)
    return cattrs.v.format_exception(error, kind)


def _quote_json_name(match: re.Match[str]) -> str:
    return f"'{to_camel_case(match[1])}'"


def _format_reason(reason: str) -> str:
    """Rewrites the field path of a cattrs message with JSON field names."""
    text, mark, path = reason.rpartition(" @ ")
    if not mark:
        return reason
    return f"{text} at {to_camel_case(path).lstrip('.') or 'the top'}"


def _add_attrs_hooks(
    converter: cattrs.Converter, forbid_extra_keys: bool
) -> None:
    def make_structure(kind: type) -> Any:
        names: Any = {
            field.name: gen.override(rename=to_camel_case(field.name))
            for field in attrs.fields(kind)
        }
        return gen.make_dict_structure_fn(
            kind,
            converter,
            _cattrs_forbid_extra_keys=forbid_extra_keys,
            **names,
        )

    def make_unstructure(kind: type) -> Any:
        names: Any = {
            field.name: gen.override(rename=to_camel_case(field.name))
            for field in attrs.fields(kind)
        }
        return gen.make_dict_unstructure_fn(kind, converter, **names)

    converter.register_structure_hook_factory(attrs.has, make_structure)
    converter.register_unstructure_hook_factory(attrs.has, make_unstructure)


def _create_converter(strict: bool) -> cattrs.Converter:
    converter = cattrs_orjson.make_converter(detailed_validation=strict)
    _add_attrs_hooks(converter, forbid_extra_keys=strict)
    if not strict:
        for kind in (int, float, str, bool):
            converter.register_structure_hook(kind, _structure_scalar)
    else:
        for kind in (int, float, str, bool):
            converter.register_structure_hook(kind, _structure_scalar_strictly)
        converter.register_structure_hook_func(
            _is_homogeneous_tuple,
            lambda value, kind: _structure_list(converter, value, kind),
        )
    return converter


# For documents that people write: reports every bad or unknown field.
_STRICT_CONVERTER = _create_converter(strict=True)
# For messages between processes: ignores fields that a newer release added.
_LENIENT_CONVERTER = _create_converter(strict=False)


@functools.cache
def _find_structure_hook(kind: Any) -> Any:
    return _LENIENT_CONVERTER.get_structure_hook(kind)


@functools.cache
def _find_unstructure_hook(kind: Any) -> Any:
    return _LENIENT_CONVERTER.get_unstructure_hook(kind)


def to_plain(value: Any) -> Any:
    """Converts a value to dicts, lists and scalars for JSON."""
    kind: Any = type(value)
    return _find_unstructure_hook(kind)(value)


def from_plain(kind: type[_T], plain: Any) -> _T:
    """Builds a value from plain data that a process wrote.

    Unknown fields are ignored.

    Raises:
      InputError: The data does not match the type.
    """
    try:
        key: Any = kind
        result: _T = _find_structure_hook(key)(plain, kind)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise _errors.InputError(
            f"not a {kind.__name__}: {error!r}", step="decode"
        ) from error
    except cattrs.BaseValidationError as error:
        raise _errors.InputError(
            f"not a {kind.__name__}: {error!r}", step="decode"
        ) from error
    return result


def from_plain_strict(kind: type[_T], plain: Any) -> _T:
    """Builds a value from plain data that a person wrote.

    Raises:
      InputError: A field is missing, unknown or of the wrong type; the message
        names each such field and describes the error.
    """
    if not isinstance(plain, dict):
        raise _errors.InputError(
            f"expected a JSON object, not {plain!r:.60}", step="check-fields"
        )
    try:
        return _STRICT_CONVERTER.structure(plain, kind)
    except cattrs.BaseValidationError as error:
        found = cattrs.transform_error(
            error, path="", format_exception=_describe_error
        )
        reasons = "; ".join(_format_reason(reason) for reason in found)
        raise _errors.InputError(reasons, step="check-fields") from error
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise _errors.InputError(str(error), step="check-fields") from error


def encode(value: Any) -> bytes:
    """Encodes an attrs value as JSON text."""
    return orjson.dumps(to_plain(value))


def encode_plain(plain: Any) -> bytes:
    """Encodes plain data as JSON text with sorted keys."""
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def check_depth(plain: Any, levels: int) -> None:
    """Checks that a message can hold plain data.

    Text may be nested deeper when it is parsed than when it is written.

    Args:
      plain: The plain data.
      levels: How many levels deep the message holds it.

    Raises:
      InputError: The data is nested too deep.
    """
    message = plain
    for _ in range(levels):
        message = [message]
    try:
        orjson.dumps(message)
    except orjson.JSONEncodeError as error:
        raise _errors.InputError(
            f"cannot be passed on: {error}; nest it less deep",
            step="check-depth",
        ) from error


def decode(kind: type[_T], text: bytes) -> _T:
    """Builds a value from JSON text that a process wrote.

    Raises:
      InputError: The text is not JSON or does not match the type.
    """
    return from_plain(kind, decode_plain(text))


def decode_plain(text: bytes) -> Any:
    """Parses JSON text into plain data.

    Raises:
      InputError: The text is not JSON.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise _errors.InputError(f"not JSON: {error}", step="decode") from error
