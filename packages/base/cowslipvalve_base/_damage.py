"""Decoding of JSON documents that other programs have written in part.

One value that the usual decoder refuses, such as a number out of range, must
not hide the rest of the document.
"""

import json
import math
import re
from typing import Any

from cowslipvalve_base import _errors

_MAX_DEPTH = 64  # Far below the recursion limit of the decoder.
_MAX_INTEGER = 2**63
_MAX_INTEGER_DIGITS = 19
# A string without an end reaches to the end of the text.
_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*(?:"|\Z)|[\[\]{}]', re.DOTALL)
_NULL = "null"


def decode_damaged(text: bytes) -> Any:
    """Parses JSON text; values that can't be represented become None.

    These are lists and objects nested more than 64 deep, numbers beyond a
    64-bit integer or a finite float, and strings that are not valid Unicode.

    Raises:
      InputError: The text is not JSON.
    """
    characters = text.decode("utf-8", "surrogateescape")
    try:
        plain = json.loads(
            _cut_depth(characters),
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=lambda _: None,
        )
    except (ValueError, RecursionError) as error:
        raise _errors.InputError(f"not JSON: {error}", step="decode") from error
    return _remove_invalid_texts(plain)


def _cut_depth(text: str) -> str:
    """Replaces lists and objects that are nested too deep by null."""
    parts: list[str] = []
    depth = 0
    kept_from = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        if match[0] in "[{":
            depth += 1
            if depth == _MAX_DEPTH + 1:
                parts += (text[kept_from : match.start()], _NULL)
        elif match[0] in "]}":
            depth -= 1
            if depth == _MAX_DEPTH:
                kept_from = match.end()
    # Without its closing brackets the text is not JSON.
    return "".join(parts) + text[kept_from:]


def _parse_integer(text: str) -> int | None:
    if len(text.lstrip("-")) > _MAX_INTEGER_DIGITS:
        return None
    value = int(text)
    return value if -_MAX_INTEGER <= value < _MAX_INTEGER else None


def _parse_float(text: str) -> float | None:
    value = float(text)
    return value if math.isfinite(value) else None


def _remove_invalid_texts(plain: Any) -> Any:
    if isinstance(plain, str):
        return plain if _is_valid_text(plain) else None
    if isinstance(plain, list):
        return [_remove_invalid_texts(value) for value in plain]
    if isinstance(plain, dict):
        return {
            key: _remove_invalid_texts(value)
            for key, value in plain.items()
            if _is_valid_text(key)
        }
    return plain


def _is_valid_text(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
