"""Files that people write."""

import pathlib
from typing import TypeVar

from cowslipvalve_base import _codec
from cowslipvalve_base import _errors

_T = TypeVar("_T")


def load_settings(kind: type[_T], path: str, advice: str = "") -> _T:
    """Reads and checks a settings file in JSON.

    Args:
      kind: The class of the settings.
      path: The file.
      advice: What a message about a bad field says besides.

    Raises:
      SettingsError: The file cannot be read, is not JSON, or has bad fields;
        the message names each field and says what to write.
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
            f"{path}: {error}{advice}", step="check-settings"
        ) from error
