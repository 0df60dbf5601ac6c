"""Dispatches orders to servers by way of the servers' homes."""

import asyncio
import uuid
from typing import Any

import aiohttp
import attrs

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _replicas

REPLY_GRACE_MS = 200  # The home's reply may arrive just after the deadline.
_HTTP_OK = 200
_RETRY_WAIT_MS = 50  # The wait before servers that refused are retried.


@attrs.frozen(kw_only=True)
class Order:
    """An order that is being processed for a caller."""

    # The ID of the caller's request.
    request_id: str
    # The search that the order is for.
    search: model.Search
    # The request body that the caller sent.
    request: model.OrderRequest
    # The time at which the caller stops waiting, in ms on this host's clock.
    deadline_ms: float

    @property
    def name(self) -> str:
        """The name of the search."""
        return self.search.metadata.name


class OrderDispatcher:
    """Sends an order to servers until one may have run it.

    An order is sent to another server only if the previous one certainly did
    not run it. Once any byte of it may have been sent, it is not sent again.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        scheme: str,
        directory: _replicas.ReplicaDirectory,
        memberships: _memberships.Memberships,
        clock: model.Clock,
    ) -> None:
        self._session = session
        self._scheme = scheme
        self._directory = directory
        self._memberships = memberships
        self._clock = clock

    async def run(self, order: Order, fingerprint: str) -> model.HomeOrderReply:
        """Tries the servers in turn until one may have run the order.

        Servers that refused are retried until the deadline, except for a
        quarantined order.
        """
        reply = model.HomeOrderReply(
            model.Outcome.NOT_RUN, model.Reason.NO_SERVER
        )
        ranked = policy.rank_names(
            self._directory.list_declared_servers(order.name), order.request_id
        )
        while self._clock.now_ms() < order.deadline_ms:
            for server in ranked:
                replica = self._directory.find_replica(server)
                if replica is None:
                    continue
                reply = await self._send(order, fingerprint, replica)
                if reply.outcome is not model.Outcome.NOT_RUN:
                    return reply
            if reply.reason is model.Reason.QUARANTINED:
                return reply
            await self._clock.sleep_ms(_RETRY_WAIT_MS)
        return reply

    async def _send(
        self, order: Order, fingerprint: str, replica: _replicas.Replica
    ) -> model.HomeOrderReply:
        record = self._memberships.find_host_record(replica.home)
        if record is None:
            return model.HomeOrderReply(
                model.Outcome.NOT_RUN, model.Reason.NOT_HOME
            )
        remaining_ms = order.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return model.HomeOrderReply(
                model.Outcome.NOT_RUN, model.Reason.DEADLINE
            )
        message = model.HomeOrder(
            order.request_id,
            uuid.uuid4().hex,
            order.name,
            replica.server,
            fingerprint,
            order.request.order,
            remaining_ms,
        )
        reply: model.HomeOrderReply = await post_order(
            self._session,
            f"{self._scheme}://{record.address}/peer/order",
            message,
            remaining_ms + REPLY_GRACE_MS,
            model.HomeOrderReply,
        )
        return reply


async def post_order(
    session: aiohttp.ClientSession,
    url: str,
    message: Any,
    timeout_ms: float,
    reply_type: type[Any],
) -> Any:
    """Posts an order message to a peer over a new connection.

    A reused keep-alive connection may be closed by the peer while the order
    is in transit, which would needlessly leave the outcome unknown.

    Args:
      session: The HTTP session for peers.
      url: The URL of the peer's endpoint.
      message: The message, encoded with the model's codec.
      timeout_ms: The longest time for the whole exchange, in ms.
      reply_type: The type that the response body is decoded to.

    Returns:
      The peer's reply as a reply_type; on failure a HomeOrderReply with the
      outcome NOT_RUN if no connection was made, and UNKNOWN otherwise.
    """
    try:
        async with (
            asyncio.timeout(model.to_seconds(timeout_ms)),
            session.post(
                url,
                data=model.encode(message),
                headers={"Connection": "close"},
            ) as response,
        ):
            text = await response.read()
            if response.status != _HTTP_OK:
                return model.HomeOrderReply(
                    model.Outcome.UNKNOWN, model.Reason.MISMATCH
                )
            return model.decode(reply_type, text)
    except aiohttp.ClientConnectorError:
        return model.HomeOrderReply(
            model.Outcome.NOT_RUN, model.Reason.UNREACHABLE
        )
    except (aiohttp.ClientError, OSError):
        return model.HomeOrderReply(
            model.Outcome.UNKNOWN, model.Reason.CONNECTION_LOST
        )
    except TimeoutError:
        return model.HomeOrderReply(
            model.Outcome.UNKNOWN, model.Reason.DEADLINE
        )
    except model.InputError:
        return model.HomeOrderReply(
            model.Outcome.UNKNOWN, model.Reason.MISMATCH
        )
