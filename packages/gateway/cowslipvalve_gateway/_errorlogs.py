"""Log of unexpected errors, which may come in floods."""

import logging

import attrs

import cowslipvalve_base as base

# One traceback in this time shows what fails.
_INTERVAL_MS = 10_000.0
# Messages may contain names or addresses.
_MAX_KINDS = 100


@attrs.define
class _Kind:
    """Errors of one step and type."""

    # When the last one was logged.
    logged_ms: float
    # How many came since.
    left_out: int = 0


@attrs.define(eq=False)
class ErrorLog:
    """Logs errors with their tracebacks, those of one kind each 10 s."""

    _logger: logging.Logger
    _clock: base.Clock
    _kinds: dict[tuple[str, str], _Kind] = attrs.field(factory=dict)

    def log(self, step: str, error: BaseException | None) -> None:
        """Logs an error, unless one of its kind was logged just before.

        Args:
          step: What failed.
          error: The error, None if there is only the step.
        """
        key = (step, type(error).__name__)
        now_ms = self._clock.now_ms()
        kind = self._kinds.get(key)
        if kind is not None and now_ms - kind.logged_ms < _INTERVAL_MS:
            kind.left_out += 1
            return
        if len(self._kinds) >= _MAX_KINDS:
            self._kinds.clear()
        self._kinds[key] = _Kind(now_ms)
        fields = {"step": step, "error": repr(error)}
        if kind is not None:
            fields["left_out"] = str(kind.left_out)
        self._logger.error(
            {"msg": "unexpected-error", **fields}, exc_info=error
        )


def create_error_log(logger: logging.Logger, clock: base.Clock) -> ErrorLog:
    """Returns a log of errors that writes to a logger."""
    return ErrorLog(logger, clock)
