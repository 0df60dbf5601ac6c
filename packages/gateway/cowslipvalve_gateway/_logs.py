"""Logs on standard output that never make the process wait."""

import logging
import queue
import sys
import time
from logging import handlers
from typing import Any

import logfmter

from cowslipvalve_gateway import _measurements

_QUEUE_CAPACITY_LINES = 5_000  # Some seconds of the fullest allowed log.
_MAX_LINES_PER_S = 400  # 4 % of a core for formatting.
_MAX_SUCCESS_LINES_PER_S = 150  # The rest is left to what goes wrong.
_SUCCESS_OUTCOMES = frozenset({"answered", "merged"})
_KEYS = ["at", "level"]
_NAMES = {"at": "asctime", "level": "levelname"}


class VolumeFilter(logging.Filter):
    """Bounds the lines a second; lines about successes are left out first."""

    def __init__(self, measurements: _measurements.Measurements) -> None:
        super().__init__()
        self._measurements = measurements
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record is written; the first of a second tells the rest."""
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
    """Puts records in a queue; drops and counts them when it is full."""

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


def start_logs(
    measurements: _measurements.Measurements,
) -> handlers.QueueListener:
    """Sends all logs to standard output by way of a thread.

    Returns:
      The thread's listener; its stop method writes what is queued.
    """
    records: queue.Queue[Any] = queue.Queue(maxsize=_QUEUE_CAPACITY_LINES)
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(logfmter.Logfmter(keys=_KEYS, mapping=_NAMES))
    handler = _DroppingHandler(records, measurements)
    handler.addFilter(VolumeFilter(measurements))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.getLogger("mode").setLevel(logging.WARNING)
    listener = handlers.QueueListener(records, writer)
    listener.start()
    return listener
