"""Loading of settings files."""

import pathlib
from typing import TypeVar

from cowslipvalve_base import _codec
from cowslipvalve_base import _errors

_T = TypeVar("_T")


def load_settings(kind: type[_T], path: str, hint: str = "") -> _T:
    """Reads and validates a settings file in JSON.

    Args:
      kind: The attrs class of the settings.
      path: The path of the file.
      hint: Text that is appended to the message about bad fields.

    Raises:
      SettingsIncompleteError: The file cannot be read or is not JSON.
      SettingsError: It has bad fields; the message names each of them and the
        expected value.
    """
    return decode_settings(kind, path, read_settings(path), hint)


def read_settings(path: str) -> bytes:
    """Returns the content of a settings file.

    Raises:
      SettingsIncompleteError: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _errors.SettingsIncompleteError(
            f"{path}: cannot be read: {error.strerror}; name a readable file",
            step="read-settings",
        ) from error


def decode_settings(
    kind: type[_T], path: str, content: bytes, hint: str = ""
) -> _T:
    """Validates the content of a settings file.

    Args:
      kind: The attrs class of the settings.
      path: The path of the file.
      content: The content of the file.
      hint: Text that is appended to the message about bad fields.

    Raises:
      SettingsIncompleteError: The content is not JSON, as that of a file that
        is being written.
      SettingsError: It has bad fields.
    """
    try:
        plain = _codec.decode_plain(content)
    except _errors.InputError as error:
        raise _errors.SettingsIncompleteError(
            f"{path}: {error}{hint}", step="check-settings"
        ) from error
    try:
        return _codec.from_plain_strict(kind, plain)
    except _errors.InputError as error:
        raise _errors.SettingsError(
            f"{path}: {error}{hint}", step="check-settings"
        ) from error
