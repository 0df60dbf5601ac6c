"""The HTTP interface for callers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import web

import cowslipvalve_model as model
from cowslipvalve_daemon import _entries
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _orders
from cowslipvalve_daemon import _settings

_T = TypeVar("_T")

_JSON = "application/json"
_HTTP_BAD_REQUEST = 400
_HTTP_CONTENT_TOO_LARGE = 413
_HTTP_SERVICE_UNAVAILABLE = 503
_HTTP_GATEWAY_TIMEOUT = 504
# How much deeper than a request the messages between hosts hold it.
_QUERY_LEVELS = 2
_ORDER_LEVELS = 1
_STATUS_BY_OUTCOME = {
    model.Outcome.ANSWERED: 200,
    model.Outcome.NOT_RUN: _HTTP_SERVICE_UNAVAILABLE,
    model.Outcome.UNKNOWN: _HTTP_GATEWAY_TIMEOUT,
}


class CallerApi:
    """Handles callers' HTTP requests and counts those that are running."""

    def __init__(
        self,
        settings: _settings.Settings,
        coordinator: _entries.SearchCoordinator,
        orders: _orders.Orders,
        metrics: _metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._coordinator = coordinator
        self._orders = orders
        self._metrics = metrics
        self._cutoff = model.create_cutoff()
        self.running_requests = 0
        self.is_closed = False

    def create_app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(
            client_max_size=self._settings.limits.max_body_bytes
        )
        app.router.add_post("/v1/searches/{name}/query", self._query)
        app.router.add_post("/v1/searches/{name}/tickets", self._ticket)
        app.router.add_post("/v1/searches/{name}/orders", self._order)
        return app

    def end_requests(self) -> None:
        """Ends all requests in progress, which may have run, with an answer."""
        self._cutoff.end_all()

    async def _query(self, request: web.Request) -> web.Response:
        async def run(request_id: str) -> Any:
            body = await _decode_body(
                request, model.SearchRequest, _QUERY_LEVELS
            )
            return await self._coordinator.run(
                request.match_info["name"], body, request_id
            )

        return await self._handle(request, run)

    async def _ticket(self, request: web.Request) -> web.Response:
        async def run(request_id: str) -> Any:
            return self._orders.issue_ticket(request.match_info["name"])

        return await self._handle(request, run)

    async def _order(self, request: web.Request) -> web.Response:
        async def run(request_id: str) -> Any:
            body = await _decode_body(
                request, model.OrderRequest, _ORDER_LEVELS
            )
            # A started order runs to its end even if the caller disconnects.
            return await asyncio.shield(
                self._orders.run(request.match_info["name"], body, request_id)
            )

        return await self._handle(request, run)

    async def _handle(
        self, request: web.Request, run: Callable[[str], Awaitable[Any]]
    ) -> web.Response:
        request_id = _entries.create_request_id(self._settings.host)
        self.running_requests += 1
        try:
            self._check_admission()
            async with self._cutoff.apply():
                answer = await run(request_id)
        except model.CowslipvalveError as error:
            answer = _create_failure(request_id, error)
        except web.HTTPRequestEntityTooLarge:
            answer = _create_too_large_failure(request_id, self._settings)
        finally:
            self.running_requests -= 1
        response = _respond(answer)
        self._metrics.requests.add(
            1,
            {
                "search": request.match_info["name"],
                "status": str(response.status),
            },
        )
        return response

    def _check_admission(self) -> None:
        if self.is_closed:
            raise model.NotRunError(
                "this host is stopping; send the request to another host",
                reason=model.Reason.STOPPING,
                step="accept-request",
            )
        if self.running_requests > self._settings.limits.max_requests:
            raise model.NotRunError(
                "too many requests are running on this host; retry later",
                reason=model.Reason.QUEUE_FULL,
                step="accept-request",
            )


async def _decode_body(request: web.Request, kind: type[_T], levels: int) -> _T:
    text = await request.read()
    try:
        plain = model.decode_plain(text)
        model.check_depth(plain, levels)
        return model.from_plain_strict(kind, plain)
    except model.InputError as error:
        raise model.RequestError(str(error), step="read-request") from error


def _respond(answer: Any) -> web.Response:
    return web.Response(
        body=model.encode(answer),
        status=_choose_status(answer),
        content_type=_JSON,
    )


def _choose_status(answer: Any) -> int:
    if isinstance(answer, model.ErrorAnswer):
        if answer.reason in (
            model.Reason.BAD_REQUEST,
            model.Reason.UNKNOWN_SEARCH,
        ):
            return _HTTP_BAD_REQUEST
        if answer.reason is model.Reason.TOO_LARGE:
            return _HTTP_CONTENT_TOO_LARGE
    if isinstance(answer, model.Ticket):
        return _STATUS_BY_OUTCOME[model.Outcome.ANSWERED]
    return _STATUS_BY_OUTCOME[answer.outcome]


def _create_failure(
    request_id: str, error: model.CowslipvalveError
) -> model.ErrorAnswer:
    outcome, reason = model.Outcome.NOT_RUN, model.Reason.BAD_REQUEST
    if isinstance(error, model.NotRunError):
        reason = error.reason
    elif isinstance(error, model.CutOffError):
        outcome, reason = model.Outcome.UNKNOWN, model.Reason.STOPPING
    elif not isinstance(error, model.RequestError):
        outcome, reason = model.Outcome.UNKNOWN, model.Reason.MISMATCH
    return model.ErrorAnswer(
        request_id=request_id,
        outcome=outcome,
        reason=reason,
        message=str(error),
        step=error.step,
        peer=error.peer,
        retry=reason in model.RETRYABLE_REASONS,
    )


def _create_too_large_failure(
    request_id: str, settings: _settings.Settings
) -> model.ErrorAnswer:
    return model.ErrorAnswer(
        request_id=request_id,
        outcome=model.Outcome.NOT_RUN,
        reason=model.Reason.TOO_LARGE,
        message=f"send at most {settings.limits.max_body_bytes} bytes",
        step="read-request",
    )


def create_caller_api(
    settings: _settings.Settings,
    coordinator: _entries.SearchCoordinator,
    orders: _orders.Orders,
    metrics: _metrics.Metrics,
) -> CallerApi:
    """Returns the HTTP interface for callers of this host."""
    return CallerApi(settings, coordinator, orders, metrics)
