"""Runs callers' non-idempotent requests at most once."""

import asyncio
import logging
import uuid
from typing import Any

import aiohttp
import attrs

import cowslipvalve_model as model
import cowslipvalve_platform as platform
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _entries
from cowslipvalve_daemon import _logs
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _settings
from cowslipvalve_daemon import _tickets
from cowslipvalve_daemon import _transports

_LOGGER = logging.getLogger(__name__)
_HTTP_OK = 200
_RETRY_MS = 50  # The wait before servers that refused are asked again.
_GRACE_MS = 200  # The home answers a little after the deadline.


@attrs.frozen(kw_only=True)
class Order:
    """A caller's order on its way."""

    # The id of the caller's request.
    request_id: str
    # The search that it is for.
    search: model.Search
    # What the caller sent.
    request: model.OrderRequest
    # The time on this host's clock at which the caller stops waiting, in ms.
    deadline_ms: float

    @property
    def name(self) -> str:
        """The name of the search."""
        return self.search.metadata.name


class OrderDispatcher:
    """Sends an order to one server, and never again once a byte may be out."""

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
        """Tries the servers in turn until one has taken the order."""
        reply = model.HomeOrderReply(
            model.Outcome.NOT_RUN, model.Reason.NO_SERVER
        )
        ranked = policy.rank_names(
            self._directory.servers_of(order.name), order.request_id
        )
        while self._clock.now_ms() < order.deadline_ms:
            for server in ranked:
                replica = self._directory.replica(server)
                if replica is None:
                    continue
                reply = await self._send(order, fingerprint, replica)
                if reply.outcome is not model.Outcome.NOT_RUN:
                    return reply
            if reply.reason is model.Reason.QUARANTINED:
                return reply
            await self._clock.sleep_ms(_RETRY_MS)
        return reply

    async def _send(
        self, order: Order, fingerprint: str, replica: _replicas.Replica
    ) -> model.HomeOrderReply:
        record = self._memberships.host_record(replica.home)
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
            remaining_ms + _GRACE_MS,
            model.HomeOrderReply,
        )
        return reply


async def post_order(
    session: aiohttp.ClientSession,
    url: str,
    message: Any,
    timeout_ms: float,
    kind: type[Any],
) -> Any:
    """Sends an order message over a connection of its own.

    A kept connection may be closed by the peer while the order is on its way,
    which would leave the outcome unknown for no need. Returns the peer's
    reply, or a HomeOrderReply that says whether the message was sent.
    """
    timeout = aiohttp.ClientTimeout(total=model.to_seconds(timeout_ms))
    try:
        async with session.post(
            url,
            data=model.encode(message),
            timeout=timeout,
            headers={"Connection": "close"},
        ) as response:
            text = await response.read()
            if response.status != _HTTP_OK:
                return model.HomeOrderReply(
                    model.Outcome.UNKNOWN, model.Reason.MISMATCH
                )
            return model.decode(kind, text)
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


class Orders:
    """Guards orders by claims or tickets and dispatches them."""

    def __init__(
        self,
        entry: _entries.Entry,
        dispatcher: OrderDispatcher,
        claims: platform.ClaimStore,
        tickets: _tickets.TicketBook,
        memberships: _memberships.Memberships,
        session: aiohttp.ClientSession,
        scheme: str,
        metrics: _metrics.Metrics,
        clock: model.Clock,
    ) -> None:
        self._entry = entry
        self._dispatcher = dispatcher
        self._claims = claims
        self._tickets = tickets
        self._memberships = memberships
        self._session = session
        self._scheme = scheme
        self._metrics = metrics
        self._clock = clock

    def issue_ticket(self, name: str) -> model.Ticket:
        """Returns a ticket for one order.

        Raises:
          RequestError: The search takes no tickets.
          NotRunError: No ticket can be had now.
        """
        search = self._entry.find_search(name, model.SearchKind.ORDER)
        if search.spec.order_guard is not model.OrderGuard.TICKET:
            raise model.RequestError(
                f"search {name!r} takes keys instead of tickets",
                step="issue-ticket",
            )
        return self._tickets.issue(name)

    async def run(
        self, name: str, request: model.OrderRequest, request_id: str
    ) -> model.OrderAnswer:
        """Runs an order, or returns what became of it before.

        Raises:
          RequestError: The request is malformed; nothing was run.
          NotRunError: Nothing was run.
        """
        search = self._entry.find_search(name, model.SearchKind.ORDER)
        deadline_ms = self._clock.now_ms() + _entries.choose_deadline_ms(
            search.spec, request.deadline_ms
        )
        order = Order(
            request_id=request_id,
            search=search,
            request=request,
            deadline_ms=deadline_ms,
        )
        if search.spec.order_guard is model.OrderGuard.CLAIM:
            answer = await self.run_claimed(order)
        else:
            answer = await self.run_ticketed(order)
        self._metrics.orders.add(
            1, {"search": name, "outcome": str(answer.outcome)}
        )
        _logs.log_event(
            _LOGGER,
            "order",
            request=request_id,
            search=name,
            outcome=answer.outcome,
            reason=answer.reason,
        )
        return answer

    async def run_claimed(self, order: Order) -> model.OrderAnswer:
        """Runs an order whose key is claimed in the platform first."""
        key = order.request.key
        if not key:
            raise model.RequestError(
                "key is missing; write a key that names this order for good",
                step="check-order",
            )
        try:
            claim = await self._claims.take(order.name, key, uuid.uuid4().hex)
        except model.PlatformError as error:
            raise model.NotRunError(
                f"the order could not be claimed: {error}",
                reason=model.Reason.PLATFORM_AWAY,
                step="take-claim",
                peer=error.peer,
            ) from error
        if not claim.granted:
            return _create_answer(
                order,
                model.HomeOrderReply(claim.outcome, claim.reason, claim.result),
            )
        reply = await self._dispatcher.run(order, _fingerprint(order))
        try:
            await self._claims.record(
                claim, reply.outcome, reply.reason, reply.result
            )
        except model.PlatformError as error:
            _logs.log_event(
                _LOGGER,
                "claim-not-recorded",
                logging.WARNING,
                request=order.request_id,
                step="record-claim",
                peer=error.peer,
                error=error,
            )
        return _create_answer(order, reply)

    async def run_ticketed(self, order: Order) -> model.OrderAnswer:
        """Runs an order at the host that issued its ticket."""
        if not order.request.ticket:
            raise model.RequestError(
                "ticket is missing; ask the tickets endpoint for one",
                step="check-order",
            )
        name = _tickets.parse_ticket(order.request.ticket)
        if self._tickets.is_own(name):
            return await self._run_own(order, name)
        return await self._forward(order, name)

    async def _run_own(
        self, order: Order, name: _tickets.TicketName
    ) -> model.OrderAnswer:
        ticket = self._tickets.find(name)
        if ticket is None or ticket.search != order.name:
            return _unknown(order, model.Reason.TICKET_VOID)
        fingerprint = _fingerprint(order)
        if ticket.fingerprint:
            return await self._await_first(order, ticket)
        if not self._tickets.is_valid(ticket):
            return _create_answer(
                order,
                model.HomeOrderReply(
                    model.Outcome.NOT_RUN, model.Reason.TICKET_VOID
                ),
            )
        ticket.fingerprint = fingerprint
        running = asyncio.ensure_future(
            self._run_first(order, ticket, fingerprint)
        )
        # The order goes on when its caller gives up, for resends to find.
        return await asyncio.shield(running)

    async def _run_first(
        self, order: Order, ticket: _tickets.IssuedTicket, fingerprint: str
    ) -> model.OrderAnswer:
        try:
            reply = await self._dispatcher.run(order, fingerprint)
        except BaseException:
            ticket.answer = _unknown(order, model.Reason.ALREADY_SENT)
            ticket.answered.set()
            raise
        answer = _create_answer(order, reply)
        if reply.outcome is model.Outcome.NOT_RUN:
            # Nobody has run it, so that a resend may.
            ticket.fingerprint = ""
        ticket.answer = answer
        ticket.answered.set()
        if reply.outcome is model.Outcome.NOT_RUN:
            ticket.answer = None
            ticket.answered = asyncio.Event()
        return answer

    async def _await_first(
        self, order: Order, ticket: _tickets.IssuedTicket
    ) -> model.OrderAnswer:
        """Waits for the answer of the request that came first."""
        if ticket.fingerprint != _fingerprint(order):
            return _unknown(order, model.Reason.ALREADY_SENT)
        left_ms = order.deadline_ms - self._clock.now_ms()
        try:
            await asyncio.wait_for(
                ticket.answered.wait(), model.to_seconds(left_ms)
            )
        except TimeoutError:
            return _unknown(order, model.Reason.ALREADY_SENT)
        if ticket.answer is None:
            return _create_answer(
                order,
                model.HomeOrderReply(
                    model.Outcome.NOT_RUN, model.Reason.NO_SERVER
                ),
            )
        return attrs.evolve(ticket.answer, request_id=order.request_id)

    async def _forward(
        self, order: Order, name: _tickets.TicketName
    ) -> model.OrderAnswer:
        """Hands an order to the only host that may run it."""
        record = self._memberships.host_record(name.host)
        if record is None or record.incarnation != name.incarnation:
            return _unknown(order, model.Reason.ISSUER_GONE)
        left_ms = order.deadline_ms - self._clock.now_ms()
        request = attrs.evolve(order.request, deadline_ms=max(1, int(left_ms)))
        reply = await post_order(
            self._session,
            f"{self._scheme}://{record.address}/peer/forwarded-order",
            model.ForwardedOrder(order.request_id, order.name, request),
            left_ms + _GRACE_MS,
            model.OrderAnswer,
        )
        if isinstance(reply, model.OrderAnswer):
            return reply
        # An earlier request with this ticket may have run at the issuer.
        return _unknown(order, model.Reason.ISSUER_GONE)


def _fingerprint(order: Order) -> str:
    return policy.compute_fingerprint(order.name, order.request.order)


def _unknown(order: Order, reason: model.Reason) -> model.OrderAnswer:
    return _create_answer(
        order, model.HomeOrderReply(model.Outcome.UNKNOWN, reason)
    )


def _create_answer(
    order: Order, reply: model.HomeOrderReply
) -> model.OrderAnswer:
    return model.OrderAnswer(
        request_id=order.request_id,
        outcome=reply.outcome,
        search=order.name,
        result=reply.result,
        reason=reply.reason,
    )


def create_orders(
    settings: _settings.Settings,
    incarnation: int,
    transport: _transports.Transport,
    entry: _entries.Entry,
    directory: _replicas.ReplicaDirectory,
    memberships: _memberships.Memberships,
    claims: platform.ClaimStore,
    metrics: _metrics.Metrics,
    clock: model.Clock,
) -> Orders:
    """Returns the orders of this incarnation of the host."""
    dispatcher = OrderDispatcher(
        transport.session, transport.scheme, directory, memberships, clock
    )
    tickets = _tickets.create_ticket_book(
        settings.host,
        incarnation,
        settings.limits.ticket_ms,
        settings.limits.order_memory_ms,
        clock,
    )
    return Orders(
        entry,
        dispatcher,
        claims,
        tickets,
        memberships,
        transport.session,
        transport.scheme,
        metrics,
        clock,
    )
