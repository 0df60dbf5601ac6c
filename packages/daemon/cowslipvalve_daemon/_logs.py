"""Logs of one line of key=value pairs per event."""

import logging
import sys

import logfmter

_KEYS = ["at", "level", "logger"]
_NAMES = {"at": "asctime", "level": "levelname", "logger": "name"}


def configure_logs(level: str, host: str) -> None:
    """Sends all logs of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(keys=_KEYS, mapping=_NAMES, defaults={"host": host})
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("mode").setLevel(logging.WARNING)


def log_event(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Writes one event with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={k: str(v) for k, v in fields.items()})
