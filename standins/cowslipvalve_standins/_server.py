"""A stand-in for a backend server.

PUT /faults sets the fields of Faults that its JSON object contains, PUT
/holdings replaces the shards, POST /crash restarts the server, and POST /cool
makes it cold without a restart. GET /stats returns the counters.
"""

import asyncio
import random
import uuid
from typing import Any

import attrs
import orjson
from aiohttp import web

import cowslipvalve_model as model
from cowslipvalve_standins import _data
from cowslipvalve_standins import _servertypes
from cowslipvalve_standins import _warmups

_MAX_QUEUE_LENGTH = 200
_MS_PER_SECOND = 1_000
_HANG_S = 30.0


class Server:
    """A stand-in server, to be served on a port of its own."""

    def __init__(self, shape: _servertypes.ServerShape) -> None:
        self._shape = shape
        self._holdings = {h.snapshot: set(h.indices) for h in shape.holdings}
        self._boot_id = uuid.uuid4().hex
        self._faults = _servertypes.Faults()
        self._stats = _servertypes.Stats()
        self._slots = asyncio.Semaphore(shape.slots)
        self._running = 0
        self._queued = 0
        self._connections: dict[Any, asyncio.Transport] = {}
        self._running_batches: list[tuple[set[str], asyncio.Future[None]]] = []
        self._previous_attempt_id = "none"
        self._random = random.Random(shape.name)
        self._warm_up = _warmups.create_warm_up_simulator(
            shape.initial_rate, shape.full_rate, shape.doubling_ms
        )

    def create_app(self) -> web.Application:
        """Returns the web application with all routes."""
        app = web.Application(
            middlewares=[self._limit_connections], client_max_size=16 << 20
        )
        add = app.router.add_route
        add("POST", "/query", self._query)
        add("POST", "/order", self._order)
        add("POST", "/cancel", self._cancel)
        add("GET", "/state", self._state)
        add("PUT", "/holdings", self._put_holdings)
        add("PUT", "/faults", self._put_faults)
        add("POST", "/crash", self._post_crash)
        add("POST", "/cool", self._post_cool)
        add("GET", "/stats", self._get_stats)
        return app

    @web.middleware
    async def _limit_connections(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path in ("/query", "/order"):
            await self._admit_connection(request)
        response: web.StreamResponse = await handler(request)
        return response

    async def _admit_connection(self, request: web.Request) -> None:
        transport = request.transport
        if transport is None or transport in self._connections:
            return
        self._connections = {
            known: known
            for known in self._connections
            if not known.is_closing()
        }
        if len(self._connections) >= self._shape.max_connections:
            self._stats.refused_connections += 1
            transport.abort()
            return
        self._stats.connections += 1
        self._connections[transport] = transport
        await asyncio.sleep(self._shape.connect_ms / _MS_PER_SECOND)

    async def _query(self, request: web.Request) -> web.StreamResponse:
        batch = model.decode(model.ServerBatch, await request.read())
        reason = self._check_admission(len(batch.queries))
        if reason is not model.Reason.NONE:
            answers = tuple(
                _create_refusal(query, reason) for query in batch.queries
            )
            return self._reply(answers)
        if self._should_crash(str([query.body for query in batch.queries])):
            return self._crash(request)
        return await self._run_batch(request, batch)

    async def _run_batch(
        self, request: web.Request, batch: model.ServerBatch
    ) -> web.StreamResponse:
        boot_id = self._boot_id
        if self._faults.hang:
            await asyncio.sleep(_HANG_S)
        if self._faults.lose == "before":
            return _drop_connection(request)
        is_finished = await self._process_batch(batch)
        if boot_id != self._boot_id or self._faults.lose == "after":
            return _drop_connection(request)
        answer = self._answer if is_finished else _create_deadline_answer
        return self._reply(tuple(answer(query) for query in batch.queries))

    async def _process_batch(self, batch: model.ServerBatch) -> bool:
        """Returns whether a batch ended before its deadline or a cancel."""
        per_query_ms = self._shape.query_ms * len(batch.queries)
        attempt_ids = {query.attempt_id for query in batch.queries}
        remaining_ms = max(query.remaining_ms for query in batch.queries)
        work = asyncio.ensure_future(
            self._occupy_slot(self._shape.batch_ms + per_query_ms)
        )
        self._running_batches.append((attempt_ids, work))
        try:
            return await self._wait_for_work(work, remaining_ms)
        finally:
            self._running_batches = [
                item for item in self._running_batches if item[1] is not work
            ]

    async def _order(self, request: web.Request) -> web.StreamResponse:
        order = model.decode(model.ServerOrder, await request.read())
        reason = self._check_admission(1)
        if reason is not model.Reason.NONE:
            return _create_response(
                model.ServerOrderReply(
                    self._boot_id,
                    order.request_id,
                    order.attempt_id,
                    model.Outcome.NOT_RUN,
                    reason,
                )
            )
        if self._should_crash(str(order.body)):
            return self._crash(request)
        if self._faults.lose == "before":
            return _drop_connection(request)
        name = str(order.body.get("id", ""))
        self._stats.orders[name] = self._stats.orders.get(name, 0) + 1
        await self._occupy_slot(self._shape.batch_ms + self._shape.query_ms)
        if self._faults.hang:
            await asyncio.sleep(_HANG_S)
        if self._faults.lose == "after":
            return _drop_connection(request)
        return _create_response(
            model.ServerOrderReply(
                self._boot_id,
                order.request_id,
                order.attempt_id,
                model.Outcome.ANSWERED,
                result={"accepted": name, "server": self._shape.name},
            )
        )

    def _check_admission(self, queries: int) -> model.Reason:
        if self._faults.draining:
            return model.Reason.DRAINING
        if self._faults.shed or self._queued >= _MAX_QUEUE_LENGTH:
            self._stats.shed += 1
            return model.Reason.SHED
        if not self._warm_up.admit(queries):
            self._stats.shed += 1
            return model.Reason.SHED
        return model.Reason.NONE

    async def _wait_for_work(
        self, work: asyncio.Future[None], remaining_ms: float
    ) -> bool:
        """Returns whether work ended before its deadline or a cancel."""
        try:
            await asyncio.wait_for(work, remaining_ms / _MS_PER_SECOND)
        except TimeoutError:
            self._stats.expired += 1
            return False
        except asyncio.CancelledError:
            if not work.cancelled():
                raise
            return False
        return True

    async def _occupy_slot(self, duration_ms: float) -> None:
        """Waits for a free slot and occupies it for the given work time.

        The time is longer while the server is cold or a batch straggles.
        """
        self._queued += 1
        if self._running >= self._shape.slots:
            self._stats.overruns += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        self._stats.max_running = max(self._stats.max_running, self._running)
        try:
            duration_ms *= self._warm_up.slowdown
            if self._random.random() < self._faults.straggle_share:
                duration_ms += self._faults.straggle_ms
            await asyncio.sleep(duration_ms / _MS_PER_SECOND)
        finally:
            self._running -= 1
            self._slots.release()

    def _answer(self, query: model.ShardQuery) -> model.ShardAnswer:
        if query.index not in self._holdings.get(query.snapshot, ()):
            return _create_refusal(query, model.Reason.SNAPSHOT_UNAVAILABLE)
        self._stats.queries += 1
        text = str(query.body.get("text", ""))
        index = query.index
        if self._faults.wrong_shard:
            index = (index + 1) % query.snapshot.count
        hits = _data.find_hits(query.snapshot, index, text, query.top_hits)
        count = len(hits)
        if self._faults.cut_hits:
            hits = hits[:-1]
        attempt_id = query.attempt_id
        if self._faults.crossed:
            attempt_id, self._previous_attempt_id = (
                self._previous_attempt_id,
                attempt_id,
            )
        return model.ShardAnswer(
            query.request_id,
            attempt_id,
            query.snapshot,
            index,
            model.Outcome.ANSWERED,
            total=_data.DOCUMENTS_PER_SHARD,
            hit_count=count,
            hits=hits,
        )

    def _reply(self, answers: tuple[model.ShardAnswer, ...]) -> web.Response:
        text = model.encode(model.ServerReply(self._boot_id, answers))
        if self._faults.cut_text:
            text = text[: len(text) // 2]
        return web.Response(body=text, content_type="application/json")

    def _should_crash(self, text: str) -> bool:
        return bool(self._faults.crash_on) and self._faults.crash_on in text

    def _crash(self, request: web.Request) -> web.Response:
        """Restarts the server: drops all connections, new boot id, cold."""
        self._stats.crashes += 1
        self._boot_id = uuid.uuid4().hex
        self._warm_up.reset()
        for transport in self._connections:
            transport.abort()
        self._connections.clear()
        return _drop_connection(request)

    async def _cancel(self, request: web.Request) -> web.Response:
        cancel = model.decode(model.CancelRequest, await request.read())
        self._stats.cancelled += len(cancel.attempt_ids)
        for attempt_ids, work in self._running_batches:
            attempt_ids.difference_update(cancel.attempt_ids)
            if not attempt_ids:
                work.cancel()
        return web.Response()

    async def _state(self, _request: web.Request) -> web.Response:
        holdings = tuple(
            model.Holding(snapshot, tuple(sorted(indices)))
            for snapshot, indices in self._holdings.items()
        )
        draining = self._faults.draining and not self._faults.lies
        return _create_response(
            model.ServerState(self._boot_id, holdings, draining)
        )

    async def _put_holdings(self, request: web.Request) -> web.Response:
        plain = orjson.loads(await request.read())
        holdings = [model.from_plain(model.Holding, item) for item in plain]
        self._holdings = {h.snapshot: set(h.indices) for h in holdings}
        return web.Response()

    async def _put_faults(self, request: web.Request) -> web.Response:
        plain = orjson.loads(await request.read())
        self._faults = attrs.evolve(self._faults, **plain)
        return web.Response()

    async def _post_crash(self, request: web.Request) -> web.Response:
        return self._crash(request)

    async def _post_cool(self, _request: web.Request) -> web.Response:
        self._warm_up.reset()
        return web.Response()

    async def _get_stats(self, _request: web.Request) -> web.Response:
        plain = attrs.asdict(self._stats)
        plain["collapses"] = self._warm_up.collapses
        return web.Response(
            body=orjson.dumps(plain), content_type="application/json"
        )


def _create_deadline_answer(query: model.ShardQuery) -> model.ShardAnswer:
    return model.ShardAnswer(
        query.request_id,
        query.attempt_id,
        query.snapshot,
        query.index,
        model.Outcome.UNKNOWN,
        model.Reason.DEADLINE,
    )


def _create_refusal(
    query: model.ShardQuery, reason: model.Reason
) -> model.ShardAnswer:
    return model.ShardAnswer(
        query.request_id,
        query.attempt_id,
        query.snapshot,
        query.index,
        model.Outcome.NOT_RUN,
        reason,
    )


def _create_response(message: object) -> web.Response:
    return web.Response(
        body=model.encode(message), content_type="application/json"
    )


def _drop_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def create_server(shape: _servertypes.ServerShape) -> Server:
    """Returns a cold server."""
    return Server(shape)
