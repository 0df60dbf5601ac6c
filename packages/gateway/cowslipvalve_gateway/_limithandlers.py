"""Server side of messages about rate limits between hosts (HTTP, JSON)."""

import logging

import attrs
from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_gateway import _limiters
from cowslipvalve_gateway import _limitnews
from cowslipvalve_gateway import _limitnotices
from cowslipvalve_gateway import _permits
from cowslipvalve_gateway import _quarantines

_HTTP_BAD_REQUEST = 400

_logger = logging.getLogger(__name__)


class LimitHandler:
    """Answers other hosts that ask for permits or tell of limits."""

    def __init__(
        self,
        limiter: _limiters.Limiter,
        news: _limitnews.LimitNews,
        quarantine: _quarantines.Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._limiter = limiter
        self._news = news

    async def handle_permit(self, request: web.BaseRequest) -> web.Response:
        """Returns the reply to one request for a permit."""
        try:
            message = base.decode(_permits.PermitRequest, await request.read())
        except base.InputError as error:
            return _refuse(request, error)
        return _create_response(self._limiter.answer(message))

    async def handle_notice(self, request: web.BaseRequest) -> web.Response:
        """Takes one notice."""
        try:
            notice = base.decode(
                _limitnotices.LimitNotice, await request.read()
            )
        except base.InputError as error:
            return _refuse(request, error)
        self._news.receive(notice)
        return web.Response()

    async def handle_query(self, request: web.BaseRequest) -> web.Response:
        """Returns all limits and quarantined requests of this host."""
        try:
            query = base.decode(_limitnotices.LimitQuery, await request.read())
        except base.InputError as error:
            return _refuse(request, error)
        limits = self._news.list_all()
        base.log_event(
            _logger, "limits-told", peer=query.host, count=len(limits.limits)
        )
        return _create_response(
            attrs.evolve(
                limits,
                quarantined=self._quarantine.list_entries(),
                suspects=self._quarantine.suspects.list_entries(),
            )
        )


def _create_response(message: object) -> web.Response:
    return web.Response(
        body=base.encode(message), content_type="application/json"
    )


def _refuse(request: web.BaseRequest, error: base.InputError) -> web.Response:
    base.log_event(
        _logger,
        "limit-message-malformed",
        logging.WARNING,
        path=request.path,
        error=error,
    )
    return web.Response(status=_HTTP_BAD_REQUEST, text=str(error))


def create_limit_handler(
    limiter: _limiters.Limiter,
    news: _limitnews.LimitNews,
    quarantine: _quarantines.Quarantine,
) -> LimitHandler:
    """Creates the handler of other hosts' messages about rate limits.

    Args:
      limiter: Gives permits.
      news: Takes notices.
      quarantine: The requests that this host refuses.
    """
    return LimitHandler(limiter, news, quarantine)
