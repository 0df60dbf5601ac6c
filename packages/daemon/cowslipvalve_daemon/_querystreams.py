"""One stream of query batches to each home host."""

import asyncio
import logging
from typing import Protocol

import aiohttp
import attrs
import mode

import cowslipvalve_model as model
from cowslipvalve_daemon import _memberships

_LOGGER = logging.getLogger(__name__)
_BATCH_INTERVAL_MS = (
    2  # A batch leaves at most this long after the one before it.
)
_MAX_BATCH = 200
_MAX_MESSAGE_BYTES = 16 << 20
_CONNECT_TIMEOUT_MS = 1_000
_LIVENESS_CHECK_INTERVAL_MS = (
    200  # The time between two looks at whether the home is dead.
)
_RECONNECT_BACKOFF_MS = (
    250  # A home that took no connection is left alone for so long.
)


class PartialSink(Protocol):
    """Takes the partial answers of one caller's request."""

    def handle_partial(self, partial: model.PartialAnswer) -> None:
        """Takes a partial answer of a query that was sent."""


@attrs.define(eq=False)
class _PendingQuery:
    """A query that is waiting for results."""

    query: model.HomeQuery
    sink: PartialSink
    remaining_results: int
    is_sent: bool = False


class QueryStream(mode.Service):
    """Sends queries to one home over one connection.

    Queries that are handed over while a batch is on its way go together in
    the next one, so that the number of messages follows the time and not the
    number of queries.
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
        """Whether the last try to connect did not fail just now."""
        return self._clock.now_ms() >= self._backoff_until_ms

    def send(self, query: model.HomeQuery, sink: PartialSink) -> None:
        """Hands over a query; its results go to the sink."""
        count = sum(len(target.indices) for target in query.targets)
        self._pending_queries[query.query_id] = _PendingQuery(
            query, sink, count
        )
        self._unsent_queries.append(query)
        self._wake.set()

    def cancel(self, query_id: str) -> None:
        """Stops a query; nothing more goes to its sink."""
        sent = self._pending_queries.pop(query_id, None)
        if sent is not None and sent.is_sent:
            self._cancelled_query_ids.append(query_id)
            self._wake.set()
        elif sent is not None:
            self._unsent_queries.remove(sent.query)

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
        """Closes the connection to a home that others have found dead."""
        while not self.should_stop:
            record = self._memberships.host_record(self._host)
            is_dead = (
                record is not None and record.state is model.HostState.DEAD
            )
            if is_dead and self._socket is not None:
                await self._socket.close()
            await self.sleep(model.to_seconds(_LIVENESS_CHECK_INTERVAL_MS))

    async def _connect(self) -> None:
        record = self._memberships.host_record(self._host)
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
            sending = asyncio.ensure_future(self._send_batches(socket))
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
        queries = tuple(self._unsent_queries[:_MAX_BATCH])
        del self._unsent_queries[:_MAX_BATCH]
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
        sent = self._pending_queries.get(partial.query_id)
        if sent is None or sent.query.snapshot != partial.snapshot:
            return
        sent.remaining_results -= len(partial.results)
        if sent.remaining_results <= 0:
            del self._pending_queries[partial.query_id]
        sent.sink.handle_partial(partial)

    def _fail_all(self) -> None:
        """Tells every waiting sink that no more results will come."""
        failed, self._pending_queries = self._pending_queries, {}
        self._unsent_queries.clear()
        self._cancelled_query_ids.clear()
        for sent in failed.values():
            outcome, reason = model.Outcome.NOT_RUN, model.Reason.UNREACHABLE
            if sent.is_sent:
                outcome = model.Outcome.UNKNOWN
                reason = model.Reason.CONNECTION_LOST
            results = tuple(
                model.ShardResult(index, target.server, outcome, reason)
                for target in sent.query.targets
                for index in target.indices
            )
            sent.sink.handle_partial(
                model.PartialAnswer(
                    sent.query.query_id, sent.query.snapshot, results
                )
            )


class QueryStreams(mode.Service):
    """The streams of this host to all homes."""

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
        """Returns the stream to a host."""
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
        """Whether queries may be sent to a host now."""
        record = self._memberships.host_record(host)
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
    """Returns the streams of this host, none open yet."""
    return QueryStreams(memberships, session, scheme, clock)
