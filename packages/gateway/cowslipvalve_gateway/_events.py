"""Log events of key=value pairs."""

import logging


def log_event(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    /,
    **fields: object,
) -> None:
    """Writes one event with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={k: str(v) for k, v in fields.items()})
