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
      SettingsError: The file cannot be read, is not JSON, or has bad fields;
        the message names each bad field and the expected value.
    """
    try:
        plain = _codec.decode_plain(pathlib.Path(path).read_bytes())
        return _codec.from_plain_strict(kind, plain)
    except OSError as error:
        raise _errors.SettingsError(
            f"{path}: cannot be read: {error.strerror}; name a readable file",
            step="read-settings",
        ) from error
    except _errors.InputError as error:
        raise _errors.SettingsError(
            f"{path}: {error}{hint}", step="check-settings"
        ) from error
