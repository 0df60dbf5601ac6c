"""Log lines about requests whose shards did not answer."""

import logging
from collections.abc import Iterable

import cowslipvalve_model as model

_LOGGER = logging.getLogger(__name__)
_PERIOD_MS = 1_000.0
# In an outage all requests fail; a reader of the log needs some of them.
_MAX_REPORTS = 10


class MissingReports:
    """Logs why the shards of failed requests are missing, a few a second."""

    def __init__(self, clock: model.Clock) -> None:
        self._clock = clock
        self._period_ends_ms = float("-inf")
        self._count = 0

    def report(
        self, request_id: str, search: str, shards: Iterable[str]
    ) -> None:
        """Logs a failed request.

        Args:
          request_id: The id of the request.
          search: The name of the search.
          shards: Describes each missing shard; read only if it is logged.
        """
        now_ms = self._clock.now_ms()
        left_out = 0
        if now_ms >= self._period_ends_ms:
            left_out = max(0, self._count - _MAX_REPORTS)
            self._period_ends_ms = now_ms + _PERIOD_MS
            self._count = 0
        self._count += 1
        if self._count > _MAX_REPORTS:
            return
        model.log_event(
            _LOGGER,
            "shards-missing",
            request=request_id,
            search=search,
            shards=",".join(shards),
            left_out_before=left_out,
        )


def create_missing_reports(clock: model.Clock) -> MissingReports:
    """Creates the reports of a host."""
    return MissingReports(clock)
