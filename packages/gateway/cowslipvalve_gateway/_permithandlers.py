"""Server side of permits between hosts (HTTP, JSON)."""

import logging

from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _limiters
from cowslipvalve_gateway import _permits

_HTTP_BAD_REQUEST = 400

_logger = logging.getLogger(__name__)


class PermitHandler:
    """Answers other hosts that ask for permits."""

    def __init__(self, limiter: _limiters.Limiter) -> None:
        self._limiter = limiter

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Returns the reply to one request for a permit."""
        try:
            message = base.decode(_permits.PermitRequest, await request.read())
        except base.InputError as error:
            base.log_event(
                _logger, "permit-malformed", logging.WARNING, error=error
            )
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))
        return web.Response(
            body=base.encode(self._limiter.answer(message)),
            content_type="application/json",
        )


def create_permit_handler(limiter: _limiters.Limiter) -> PermitHandler:
    """Creates the handler by which other hosts ask for permits."""
    return PermitHandler(limiter)
