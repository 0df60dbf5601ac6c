"""Sending on a connection on which another task receives."""

import logging
from collections.abc import Coroutine
from typing import Any

import aiohttp
from aiohttp import web

import cowslipvalve_model as model

_LOGGER = logging.getLogger(__name__)


async def send_or_close(
    socket: aiohttp.ClientWebSocketResponse | web.WebSocketResponse,
    sending: Coroutine[Any, Any, None],
    step: str,
) -> None:
    """Runs the task that sends on a connection; an error closes it.

    The other side would otherwise wait for messages that nobody sends.

    Args:
      socket: The connection.
      sending: Sends on it until it is closed.
      step: What is sent, for the log.
    """
    try:
        await sending
    except (aiohttp.ClientError, OSError) as error:
        # The connection broke, which the receiving task notices as well.
        model.log_event(
            _LOGGER, "send-failed", logging.DEBUG, step=step, error=repr(error)
        )
    except Exception as error:  # noqa: BLE001
        _LOGGER.error(
            {"msg": "unexpected-error", "step": step, "error": repr(error)},
            exc_info=error,
        )
        await socket.close()
