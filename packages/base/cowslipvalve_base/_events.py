"""Log events of key=value pairs."""

import logging


def log_event(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    /,
    **fields: object,
) -> None:
    """Writes one event with its fields.

    The fields are the message itself, so that none of them clashes with the
    attributes that the logging library gives a record.
    """
    if logger.isEnabledFor(level):
        texts = {key: str(value) for key, value in fields.items()}
        logger.log(level, {"msg": event, **texts})
