"""Non-blocking logging to standard output."""

import logging
import queue
import sys
import time
from logging import handlers
from typing import Any

import logfmter

from cowslipvalve_gateway import _measurements

_QUEUE_CAPACITY_LINES = 5_000  # Several seconds at the maximum line rate.
_MAX_LINES_PER_S = 400  # Formatting them takes 4 % of a core.
_MAX_SUCCESS_LINES_PER_S = 150  # The rest is reserved for failures.
_SUCCESS_OUTCOMES = frozenset({"answered", "merged"})
_LOGFMT_KEYS = ["at", "level"]
_LOGFMT_MAPPING = {"at": "asctime", "level": "levelname"}


class VolumeFilter(logging.Filter):
    """Limits log lines per second; leaves out successes first."""

    def __init__(self, measurements: _measurements.Measurements) -> None:
        super().__init__()
        self._measurements = measurements
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether to write a record.

        The first record of a second reports how many were left out before it.
        """
        second = int(time.monotonic())
        if second != self._second:
            if self._left_out and isinstance(record.msg, dict):
                record.msg["left_out_before"] = str(self._left_out)
            self._second = second
            self._lines = 0
            self._left_out = 0
        self._lines += 1
        if self._lines <= _get_max_lines_per_s(record):
            return True
        self._left_out += 1
        self._measurements.count("log_lines_left_out")
        return False


def _get_max_lines_per_s(record: logging.LogRecord) -> int:
    message: Any = record.msg
    if (
        isinstance(message, dict)
        and message.get("outcome") in _SUCCESS_OUTCOMES
    ):
        return _MAX_SUCCESS_LINES_PER_S
    return _MAX_LINES_PER_S


class _DroppingHandler(handlers.QueueHandler):
    """Queues records; drops and counts them when the queue is full."""

    def __init__(
        self,
        records: "queue.Queue[Any]",
        measurements: _measurements.Measurements,
    ) -> None:
        super().__init__(records)
        self._measurements = measurements

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._measurements.count("log_lines_dropped")


class _LineWriter(logging.StreamHandler[Any]):
    """Writes records; counts those that the output does not take."""

    def __init__(self, measurements: _measurements.Measurements) -> None:
        super().__init__(sys.stdout)
        self._measurements = measurements

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        if isinstance(sys.exc_info()[1], OSError):
            self._measurements.count("log_lines_dropped")
        else:
            super().handleError(record)


def start_logs(
    measurements: _measurements.Measurements,
) -> handlers.QueueListener:
    """Configures logging to standard output through a background thread.

    Returns:
      The queue listener; its stop method writes the queued records.
    """
    records: queue.Queue[Any] = queue.Queue(maxsize=_QUEUE_CAPACITY_LINES)
    writer = _LineWriter(measurements)
    writer.setFormatter(
        logfmter.Logfmter(keys=_LOGFMT_KEYS, mapping=_LOGFMT_MAPPING)
    )
    handler = _DroppingHandler(records, measurements)
    handler.addFilter(VolumeFilter(measurements))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.getLogger("mode").setLevel(logging.WARNING)
    listener = handlers.QueueListener(records, writer)
    listener.start()
    return listener
