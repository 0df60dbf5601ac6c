"""Background tasks that outlive errors which nothing expects."""

import functools
import logging
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

import cowslipvalve_base as base
from cowslipvalve_gateway import _errorlogs

# Longer than the cause of most errors lasts; no other task waits for it.
_PAUSE_MS = 500.0

_P = ParamSpec("_P")
_logger = logging.getLogger(__name__)


def restart_on_error(
    task: Callable[_P, Coroutine[Any, Any, None]],
) -> Callable[_P, Coroutine[Any, Any, None]]:
    """Decorates a background task, which is started again after an error.

    An error that leaves a task of a mode.Service stops the host with all its
    services. The task must be able to begin anew at any point.
    """
    clock = base.create_clock()
    errors = _errorlogs.create_error_log(_logger, clock)

    @functools.wraps(task)
    async def run(*args: _P.args, **keywords: _P.kwargs) -> None:
        while True:
            try:
                await task(*args, **keywords)
                return
            except Exception as error:  # noqa: BLE001
                errors.log(task.__qualname__, error)
            await clock.sleep_ms(_PAUSE_MS)

    return run
