"""Server side of reports of servers that ended (HTTP, JSON)."""

import logging

from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _crashreports
from cowslipvalve_gateway import _crashwatches
from cowslipvalve_gateway import _suspects

_HTTP_BAD_REQUEST = 400

_logger = logging.getLogger(__name__)


class CrashReportHandler:
    """Takes the reports of other hosts."""

    def __init__(self, watch: _crashwatches.CrashWatch) -> None:
        self._watch = watch

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Returns the quarantined requests in reply to one report."""
        try:
            report = base.decode(
                _crashreports.CrashReport, await request.read()
            )
        except base.InputError as error:
            base.log_event(
                _logger, "crash-report-malformed", logging.WARNING, error=error
            )
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))
        permits = self._watch.permits
        reply = _crashreports.QuarantineList(
            entries=self._watch.receive(report),
            suspects=self._watch.quarantine.suspects.list_entries(),
            permit=permits.grant(report.canary)
            if report.canary
            else _suspects.Permit.GRANTED,
        )
        return web.Response(
            body=base.encode(reply), content_type="application/json"
        )


def create_crash_report_handler(
    watch: _crashwatches.CrashWatch,
) -> CrashReportHandler:
    """Creates the handler of a host."""
    return CrashReportHandler(watch)
