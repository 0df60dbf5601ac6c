"""Structured log events with key=value fields."""

import logging


def log_event(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    /,
    **fields: object,
) -> None:
    """Logs an event with its fields.

    The fields are passed as the log message, not as extra attributes of the
    record, because extra attributes can clash with those that the logging
    library sets.
    """
    if logger.isEnabledFor(level):
        texts = {key: str(value) for key, value in fields.items()}
        logger.log(level, {"msg": event, **texts})
