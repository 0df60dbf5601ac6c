"""Logging in logfmt: one line of key=value pairs per event."""

import logging
import sys

import logfmter
import mode

_LEADING_KEYS = ["at", "level", "host", "logger"]
_ATTRIBUTES_BY_KEY = {"at": "asctime", "level": "levelname", "logger": "name"}


class _HostFilter(logging.Filter):
    """Adds the name of the host to every event."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def filter(self, record: logging.LogRecord) -> bool:
        record.host = self._host
        return True


def configure_logs(level: str, host: str) -> None:
    """Sends all log events of the process to standard error.

    Args:
      level: The least severity to log.
      host: The name of this host, which is added to every event.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(keys=_LEADING_KEYS, mapping=_ATTRIBUTES_BY_KEY)
    )
    handler.addFilter(_HostFilter(host))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    mode.Service.mundane_level = "debug"
    logging.getLogger("mode").setLevel(logging.WARNING)
