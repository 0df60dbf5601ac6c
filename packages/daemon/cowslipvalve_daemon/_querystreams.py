"""Streams batches of queries to the home hosts."""

import asyncio
import logging
from typing import Protocol

import aiohttp
import attrs
import mode

import cowslipvalve_model as model
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _sendings

_LOGGER = logging.getLogger(__name__)
_BATCH_INTERVAL_MS = 2  # Between two batches while queries are waiting.
_MAX_BATCH_QUERIES = 200
_MAX_MESSAGE_BYTES = 16 << 20
_CONNECT_TIMEOUT_MS = 1_000
_LIVENESS_CHECK_INTERVAL_MS = 200
# A home gets no queries for this long after its connection failed or ended.
_RECONNECT_BACKOFF_MS = 250


class PartialSink(Protocol):
    """Receives the partial answers of one caller's request."""

    def handle_partial(self, partial: model.PartialAnswer) -> None:
        """Handles a partial answer to a query that was sent for this sink."""


@attrs.define(eq=False)
class _PendingQuery:
    """A query whose results have not all arrived."""

    query: model.HomeQuery
    sink: PartialSink
    remaining_results: int
    is_sent: bool = False


class QueryStream(mode.Service):
    """Sends queries to one home over one connection.

    Queries that arrive within the interval after a batch are sent together in
    the next batch, so that the message rate is bounded whatever the query
    rate.
    """

    def __init__(
        self,
        host: str,
        memberships: _memberships.Memberships,
        session: aiohttp.ClientSession,
        scheme: str,
        clock: model.Clock,
    ) -> None:
        super().__init__()
        self._host = host
        self._memberships = memberships
        self._session = session
        self._scheme = scheme
        self._clock = clock
        self._unsent_queries: list[model.HomeQuery] = []
        self._cancelled_query_ids: list[str] = []
        self._pending_queries: dict[str, _PendingQuery] = {}
        self._wake = asyncio.Event()
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._backoff_until_ms = float("-inf")

    @property
    def is_reachable(self) -> bool:
        """Whether no connection has failed or ended within the backoff."""
        return self._clock.now_ms() >= self._backoff_until_ms

    def send(self, query: model.HomeQuery, sink: PartialSink) -> None:
        """Queues a query; its results go to the sink."""
        count = sum(len(target.indices) for target in query.targets)
        self._pending_queries[query.query_id] = _PendingQuery(
            query, sink, count
        )
        self._unsent_queries.append(query)
        self._wake.set()

    def cancel(self, query_id: str) -> None:
        """Cancels a query; its sink gets no further results."""
        pending = self._pending_queries.pop(query_id, None)
        if pending is not None and pending.is_sent:
            self._cancelled_query_ids.append(query_id)
            self._wake.set()
        elif pending is not None:
            self._unsent_queries.remove(pending.query)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            try:
                await self._connect()
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                model.log_event(
                    _LOGGER,
                    "home-unreachable",
                    logging.DEBUG,
                    step="connect-home",
                    peer=self._host,
                    error=repr(error),
                )
            now_ms = self._clock.now_ms()
            self._backoff_until_ms = now_ms + _RECONNECT_BACKOFF_MS
            self._fail_all()
            self._wake.clear()

    @mode.Service.task
    async def _close_dead_connection(self) -> None:
        """Closes the connection if the home is recorded as dead."""
        while not self.should_stop:
            record = self._memberships.find_host_record(self._host)
            is_dead = (
                record is not None and record.state is model.HostState.DEAD
            )
            if is_dead and self._socket is not None:
                await self._socket.close()
            await self.sleep(model.to_seconds(_LIVENESS_CHECK_INTERVAL_MS))

    async def _connect(self) -> None:
        record = self._memberships.find_host_record(self._host)
        if record is None:
            return
        timeout = aiohttp.ClientWSTimeout(
            ws_close=model.to_seconds(_CONNECT_TIMEOUT_MS)
        )
        connecting = self._session.ws_connect(
            f"{self._scheme}://{record.address}/peer/queries",
            timeout=timeout,
            max_msg_size=_MAX_MESSAGE_BYTES,
            compress=0,
        )
        socket = await asyncio.wait_for(
            connecting, model.to_seconds(_CONNECT_TIMEOUT_MS)
        )
        self._socket = socket
        async with socket:
            sending = asyncio.ensure_future(
                _sendings.send_or_close(
                    socket, self._send_batches(socket), "send-queries"
                )
            )
            try:
                async for message in socket:
                    self._handle_message(message)
            finally:
                sending.cancel()

    async def _send_batches(
        self, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        while not socket.closed:
            await self._wake.wait()
            self._wake.clear()
            while self._unsent_queries or self._cancelled_query_ids:
                await socket.send_bytes(model.encode(self._next_batch()))
                await self._clock.sleep_ms(_BATCH_INTERVAL_MS)

    def _next_batch(self) -> model.QueryBatch:
        queries = tuple(self._unsent_queries[:_MAX_BATCH_QUERIES])
        del self._unsent_queries[:_MAX_BATCH_QUERIES]
        cancelled, self._cancelled_query_ids = (
            tuple(self._cancelled_query_ids),
            [],
        )
        for query in queries:
            self._pending_queries[query.query_id].is_sent = True
        return model.QueryBatch(self._memberships.host, queries, cancelled)

    def _handle_message(self, message: aiohttp.WSMessage) -> None:
        if message.type is not aiohttp.WSMsgType.BINARY:
            return
        try:
            batch = model.decode(model.PartialBatch, message.data)
        except model.InputError as error:
            model.log_event(
                _LOGGER,
                "bad-partial",
                logging.WARNING,
                step="decode-partial",
                peer=self._host,
                error=error,
            )
            return
        for partial in batch.partials:
            self._deliver(partial)

    def _deliver(self, partial: model.PartialAnswer) -> None:
        pending = self._pending_queries.get(partial.query_id)
        if pending is None or pending.query.snapshot != partial.snapshot:
            return
        pending.remaining_results -= len(partial.results)
        if pending.remaining_results <= 0:
            del self._pending_queries[partial.query_id]
        pending.sink.handle_partial(partial)

    def _fail_all(self) -> None:
        """Fails all pending queries, as the connection has failed or ended.

        Queries that may have reached the home get the outcome UNKNOWN, all
        others NOT_RUN.
        """
        failed, self._pending_queries = self._pending_queries, {}
        self._unsent_queries.clear()
        self._cancelled_query_ids.clear()
        for pending in failed.values():
            outcome, reason = model.Outcome.NOT_RUN, model.Reason.UNREACHABLE
            if pending.is_sent:
                outcome = model.Outcome.UNKNOWN
                reason = model.Reason.HOME_LOST
            results = tuple(
                model.ShardResult(index, target.server, outcome, reason)
                for target in pending.query.targets
                for index in target.indices
            )
            pending.sink.handle_partial(
                model.PartialAnswer(
                    pending.query.query_id, pending.query.snapshot, results
                )
            )


class QueryStreams(mode.Service):
    """The query streams from this host to all homes."""

    def __init__(
        self,
        memberships: _memberships.Memberships,
        session: aiohttp.ClientSession,
        scheme: str,
        clock: model.Clock,
    ) -> None:
        super().__init__()
        self._memberships = memberships
        self._session = session
        self._scheme = scheme
        self._clock = clock
        self._streams: dict[str, QueryStream] = {}

    async def get(self, host: str) -> QueryStream:
        """Returns the stream to a host, which is created if needed."""
        stream = self._streams.get(host)
        if stream is None:
            stream = QueryStream(
                host,
                self._memberships,
                self._session,
                self._scheme,
                self._clock,
            )
            self._streams[host] = stream
            await self.add_runtime_dependency(stream)
        return stream

    def is_reachable(self, host: str) -> bool:
        """Whether a host is known, not dead and not in the backoff."""
        record = self._memberships.find_host_record(host)
        if record is None or record.state is model.HostState.DEAD:
            return False
        stream = self._streams.get(host)
        return stream is None or stream.is_reachable


def create_query_streams(
    memberships: _memberships.Memberships,
    session: aiohttp.ClientSession,
    scheme: str,
    clock: model.Clock,
) -> QueryStreams:
    """Returns the query streams of this host, none of them open yet."""
    return QueryStreams(memberships, session, scheme, clock)
