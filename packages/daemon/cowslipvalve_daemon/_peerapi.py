"""The HTTP interface for peers, which are the other hosts."""

import asyncio
import logging
from typing import TypeVar

import aiohttp
from aiohttp import web

import cowslipvalve_model as model
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _heartbeats
from cowslipvalve_daemon import _homes
from cowslipvalve_daemon import _orders
from cowslipvalve_daemon import _sendings

_T = TypeVar("_T")

_LOGGER = logging.getLogger(__name__)
_JSON = "application/json"
_MAX_BODY_BYTES = 16 << 20
_BATCH_INTERVAL_MS = 1  # The least time between two batches of partial answers.


class PeerApi:
    """Handles peers' requests: heartbeats, configurations, queries, orders."""

    def __init__(
        self,
        heartbeats: _heartbeats.HeartbeatService,
        configurations: _configurations.ConfigurationHolder,
        homes: _homes.HomeService,
        orders: _orders.Orders,
        clock: model.Clock,
    ) -> None:
        self._heartbeats = heartbeats
        self._configurations = configurations
        self._homes = homes
        self._orders = orders
        self._clock = clock
        self.running_orders = 0

    def create_app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_post("/peer/heartbeat", self._heartbeat)
        app.router.add_get("/peer/configuration", self._configuration)
        app.router.add_get("/peer/queries", self._queries)
        app.router.add_post("/peer/order", self._order)
        app.router.add_post("/peer/forwarded-order", self._forwarded_order)
        return app

    async def _heartbeat(self, request: web.Request) -> web.Response:
        message = await _decode_body(request, model.Heartbeat)
        return _respond(self._heartbeats.handle_heartbeat(message))

    async def _configuration(self, request: web.Request) -> web.Response:
        since = request.query.get("since", "0")
        if not since.isdigit():
            raise web.HTTPBadRequest(text="parameter since must be a number")
        return _respond(self._configurations.get_delta_since(int(since)))

    async def _order(self, request: web.Request) -> web.Response:
        order = await _decode_body(request, model.HomeOrder)
        self.running_orders += 1
        try:
            reply = await asyncio.shield(self._homes.run_order(order))
        finally:
            self.running_orders -= 1
        return _respond(reply)

    async def _forwarded_order(self, request: web.Request) -> web.Response:
        order = await _decode_body(request, model.ForwardedOrder)
        self.running_orders += 1
        try:
            answer = await self._run_forwarded(order)
        finally:
            self.running_orders -= 1
        return _respond(answer)

    async def _run_forwarded(
        self, order: model.ForwardedOrder
    ) -> model.OrderAnswer:
        try:
            return await asyncio.shield(
                self._orders.run(order.search, order.request, order.request_id)
            )
        except model.CowslipvalveError as error:
            reason = model.Reason.BAD_REQUEST
            if isinstance(error, model.NotRunError):
                reason = error.reason
            return model.OrderAnswer(
                request_id=order.request_id,
                outcome=model.Outcome.NOT_RUN,
                search=order.search,
                reason=reason,
            )

    async def _queries(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(
            max_msg_size=_MAX_BODY_BYTES, compress=False
        )
        await socket.prepare(request)
        connection = _QueryConnection(socket, self._homes, self._clock)
        try:
            await connection.run()
        finally:
            await connection.close()
        return socket


class _QueryConnection:
    """A WebSocket connection on which one peer sends its queries."""

    def __init__(
        self,
        socket: web.WebSocketResponse,
        homes: _homes.HomeService,
        clock: model.Clock,
    ) -> None:
        self._socket = socket
        self._homes = homes
        self._clock = clock
        self._pending_partials: list[model.PartialAnswer] = []
        self._has_partials = asyncio.Event()
        self._sender = ""

    async def run(self) -> None:
        """Runs the peer's queries until the connection closes."""
        sending = asyncio.ensure_future(
            _sendings.send_or_close(
                self._socket, self._send_partials(), "send-answers"
            )
        )
        try:
            async for message in self._socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    await self._handle_batch(message.data)
        finally:
            sending.cancel()

    async def close(self) -> None:
        """Cancels all queries of a disconnected peer."""
        await self._homes.cancel_all(self._sender)

    async def _handle_batch(self, text: bytes) -> None:
        try:
            batch = model.decode(model.QueryBatch, text)
        except model.InputError as error:
            model.log_event(
                _LOGGER,
                "bad-query-batch",
                logging.WARNING,
                step="decode-queries",
                peer=self._sender,
                error=error,
            )
            await self._socket.close()
            return
        self._sender = batch.sender
        for query_id in batch.cancelled:
            await self._homes.cancel(batch.sender, query_id)
        for query in batch.queries:
            await self._homes.run_query(batch.sender, query, self._add_partial)

    def _add_partial(self, partial: model.PartialAnswer) -> None:
        self._pending_partials.append(partial)
        self._has_partials.set()

    async def _send_partials(self) -> None:
        while not self._socket.closed:
            await self._has_partials.wait()
            self._has_partials.clear()
            pending, self._pending_partials = self._pending_partials, []
            await self._socket.send_bytes(
                model.encode(model.PartialBatch(tuple(pending)))
            )
            await self._clock.sleep_ms(_BATCH_INTERVAL_MS)


async def _decode_body(request: web.Request, kind: type[_T]) -> _T:
    try:
        return model.decode(kind, await request.read())
    except model.InputError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _respond(message: object) -> web.Response:
    return web.Response(body=model.encode(message), content_type=_JSON)


def create_peer_api(
    heartbeats: _heartbeats.HeartbeatService,
    configurations: _configurations.ConfigurationHolder,
    homes: _homes.HomeService,
    orders: _orders.Orders,
    clock: model.Clock,
) -> PeerApi:
    """Creates the peer interface of this host."""
    return PeerApi(heartbeats, configurations, homes, orders, clock)
