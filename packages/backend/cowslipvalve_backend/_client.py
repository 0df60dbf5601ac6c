"""Client of one backend server."""

import asyncio
from typing import Any, TypeVar

import aiohttp

import cowslipvalve_model as model
from cowslipvalve_backend import _connectors
from cowslipvalve_backend import _replies

_T = TypeVar("_T")

_HTTP_OK = 200
_STATE_TIMEOUT_MS = 1_000
_CANCEL_TIMEOUT_MS = 500
_REPLY_ERRORS = (
    _replies.ReplyTooLargeError,
    _connectors.EndlessResponsesError,
)


class ServerClient:
    """Sends requests to one server over a bounded number of connections.

    Requests fail with one of three errors:

    * NotRunError: No byte of the request reached the server.
    * CrashedError: The connection was lost while the server had the request.
    * UnknownOutcomeError: The answer is missing or invalid for another reason,
      such as a timeout.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        name: str,
        address: str,
        memory: model.AnswerMemory | None = None,
    ) -> None:
        self._session = session
        self._name = name
        self._memory = memory or model.create_answer_memory()
        self._url = f"http://{address}"
        self.connections_opened = 0

    async def query(
        self, batch: model.ServerBatch, timeout_ms: float
    ) -> model.ServerReply:
        """Runs a batch of shard queries in one slot of the server."""
        reply = await self._post("/query", batch, timeout_ms, model.ServerReply)
        return _check_reply(batch, reply)

    async def order(
        self, order: model.ServerOrder, timeout_ms: float
    ) -> model.ServerOrderReply:
        """Runs an order, with "Connection: close" in the request.

        A server may close a kept-alive connection while an order is in flight
        on it, which would leave the outcome of the order unknown without need.
        """
        reply = await self._post(
            "/order",
            order,
            timeout_ms,
            model.ServerOrderReply,
            headers={"Connection": "close"},
        )
        if (reply.request_id, reply.attempt_id) != (
            order.request_id,
            order.attempt_id,
        ):
            raise model.UnknownOutcomeError(
                "the server returned the answer to another order",
                step="check-order-echo",
                peer=self._name,
            )
        return reply

    async def read_state(self) -> model.ServerState:
        """Returns the state that the server reports of itself.

        Raises:
          NotRunError: The state could not be read or is invalid.
        """
        try:
            async with (
                asyncio.timeout(model.to_seconds(_STATE_TIMEOUT_MS)),
                self._session.get(self._url + "/state") as response,
            ):
                text = await self._read(response)
                return model.decode(model.ServerState, text)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            model.InputError,
            *_REPLY_ERRORS,
        ) as error:
            raise model.NotRunError(
                f"the server's state could not be read: {error!r}",
                reason=model.Reason.UNREACHABLE,
                step="read-state",
                peer=self._name,
            ) from error

    async def cancel(self, attempt_ids: tuple[str, ...]) -> None:
        """Asks the server to stop attempts; failures are ignored."""
        body = model.encode(model.CancelRequest(attempt_ids))
        try:
            async with (
                asyncio.timeout(model.to_seconds(_CANCEL_TIMEOUT_MS)),
                self._session.post(
                    self._url + "/cancel", data=body
                ) as response,
            ):
                await self._read(response)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            *_REPLY_ERRORS,
        ):
            return

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def _post(
        self,
        path: str,
        message: Any,
        timeout_ms: float,
        kind: type[_T],
        headers: dict[str, str] | None = None,
    ) -> _T:
        step = path[1:]
        try:
            async with (
                asyncio.timeout(model.to_seconds(timeout_ms)),
                self._session.post(
                    self._url + path,
                    data=model.encode(message),
                    headers=headers,
                ) as response,
            ):
                text = await self._read(response)
                if response.status != _HTTP_OK:
                    response.close()
                    raise self._create_unknown_outcome_error(
                        step, f"status {response.status}: {text[:100]!r}"
                    )
                try:
                    return model.decode(kind, text)
                except model.InputError as error:
                    response.close()
                    raise self._create_unknown_outcome_error(
                        step, error
                    ) from error
        except aiohttp.ClientConnectorError as error:
            raise model.NotRunError(
                f"the server did not accept a connection: {error!r}",
                reason=model.Reason.UNREACHABLE,
                step=step,
                peer=self._name,
            ) from error
        except TimeoutError as error:
            raise self._create_unknown_outcome_error(
                step, "the deadline passed"
            ) from error
        except _REPLY_ERRORS as error:
            raise self._create_unknown_outcome_error(step, error) from error
        except (aiohttp.ClientError, OSError) as error:
            raise model.CrashedError(
                f"the connection was lost: {error!r}",
                step=step,
                peer=self._name,
            ) from error

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        return await _replies.read_reply(response, self._memory, self._name)

    def _create_unknown_outcome_error(
        self, step: str, cause: object
    ) -> model.UnknownOutcomeError:
        return model.UnknownOutcomeError(
            f"no valid answer: {cause}", step=step, peer=self._name
        )


def _matches_query(query: model.ShardQuery, answer: model.ShardAnswer) -> bool:
    return (
        answer.request_id == query.request_id
        and answer.snapshot == query.snapshot
        and answer.index == query.index
        and answer.hit_count == len(answer.hits)
        and all(hit.shard == query.index for hit in answer.hits)
    )


def _check_reply(
    batch: model.ServerBatch, reply: model.ServerReply
) -> model.ServerReply:
    """Replaces missing and wrong answers by unknown outcomes.

    An answer is wrong if its ids, snapshot, shard or hit count do not match.
    The returned reply has one answer per query, in the order of the queries.
    """
    found = {answer.attempt_id: answer for answer in reply.answers}
    checked = []
    for query in batch.queries:
        answer = found.get(query.attempt_id)
        if answer is None or not _matches_query(query, answer):
            answer = model.ShardAnswer(
                query.request_id,
                query.attempt_id,
                query.snapshot,
                query.index,
                model.Outcome.UNKNOWN,
                model.Reason.MISMATCH,
            )
        checked.append(answer)
    return model.ServerReply(reply.boot_id, tuple(checked))


def create_server_client(
    name: str,
    address: str,
    max_connections: int,
    memory: model.AnswerMemory | None = None,
) -> ServerClient:
    """Returns a client of one server.

    Args:
      name: The name of the server.
      address: Its address, HOST:PORT.
      max_connections: The most connections that are open at a time.
      memory: Counts the bytes of all replies that the process is receiving; if
        None, those of this client.
    """
    opened: list[ServerClient] = []

    async def count_connection(*_: Any) -> None:
        opened[0].connections_opened += 1

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(count_connection)
    session = aiohttp.ClientSession(
        connector=_connectors.create_connector(name, max_connections),
        trace_configs=[trace],
    )
    opened.append(ServerClient(session, name, address, memory))
    return opened[0]
