"""Runs orders, which are non-idempotent requests, at most once."""

import asyncio
import logging
import uuid
import aiohttp
import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _entries
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _orderdispatchers
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _settings
from cowslipvalve_daemon import _tickets
from cowslipvalve_daemon import _transports

_LOGGER = logging.getLogger(__name__)


class Orders:
    """Runs each order at most once, guarded by a claim or a ticket.

    The search's order guard selects which. A claim is a record of the order's
    key in the platform; a ticket is held in the memory of its issuing host.
    """

    def __init__(
        self,
        coordinator: _entries.SearchCoordinator,
        dispatcher: _orderdispatchers.OrderDispatcher,
        claims: store.ClaimStore,
        tickets: _tickets.TicketRegistry,
        memberships: _memberships.Memberships,
        session: aiohttp.ClientSession,
        scheme: str,
        metrics: _metrics.Metrics,
        clock: model.Clock,
    ) -> None:
        self._coordinator = coordinator
        self._dispatcher = dispatcher
        self._claims = claims
        self._tickets = tickets
        self._memberships = memberships
        self._session = session
        self._scheme = scheme
        self._metrics = metrics
        self._clock = clock

    def issue_ticket(self, name: str) -> model.Ticket:
        """Returns a ticket that allows one order to run.

        Raises:
          RequestError: The search is unknown or is not guarded by tickets.
          NotRunError: This host has no configuration yet or holds too many
            tickets.
        """
        search = self._coordinator.find_search(name, model.SearchKind.ORDER)
        if search.spec.order_guard is not model.OrderGuard.TICKET:
            raise model.RequestError(
                f"search {name!r} is guarded by keys, not by tickets",
                step="issue-ticket",
            )
        return self._tickets.issue(name)

    async def run(
        self, name: str, request: model.OrderRequest, request_id: str
    ) -> model.OrderAnswer:
        """Runs an order, or returns the outcome of an earlier attempt.

        Raises:
          RequestError: The request is malformed; no server ran the order.
          NotRunError: No server ran the order.
        """
        search = self._coordinator.find_search(name, model.SearchKind.ORDER)
        deadline_ms = self._clock.now_ms() + _entries.choose_deadline_ms(
            search.spec, request.deadline_ms
        )
        order = _orderdispatchers.Order(
            request_id=request_id,
            search=search,
            request=request,
            deadline_ms=deadline_ms,
        )
        if search.spec.order_guard is model.OrderGuard.CLAIM:
            answer = await self.run_with_claim(order)
        else:
            answer = await self.run_with_ticket(order)
        self._metrics.orders.add(
            1, {"search": name, "outcome": str(answer.outcome)}
        )
        model.log_event(
            _LOGGER,
            "order",
            request=request_id,
            search=name,
            outcome=answer.outcome,
            reason=answer.reason,
        )
        return answer

    async def run_with_claim(
        self, order: _orderdispatchers.Order
    ) -> model.OrderAnswer:
        """Runs an order after claiming its key in the platform.

        If another attempt holds the claim, the order is not run and the
        outcome that the other attempt recorded is returned.

        Raises:
          RequestError: The key is missing.
          NotRunError: The platform could not confirm the claim.
        """
        key = order.request.key
        if not key:
            raise model.RequestError(
                "key is missing; set a key that is unique to this order",
                step="check-order",
            )
        try:
            claim = await self._claims.take(order.name, key, uuid.uuid4().hex)
        except model.PlatformError as error:
            raise model.NotRunError(
                f"order key could not be claimed in the platform: {error}",
                reason=model.Reason.PLATFORM_UNAVAILABLE,
                step="take-claim",
                peer=error.peer,
            ) from error
        if not claim.granted:
            return _create_answer(
                order,
                model.HomeOrderReply(claim.outcome, claim.reason, claim.result),
            )
        reply = await self._dispatcher.run(order, _compute_fingerprint(order))
        try:
            await self._claims.record(
                claim, reply.outcome, reply.reason, reply.result
            )
        except model.PlatformError as error:
            model.log_event(
                _LOGGER,
                "claim-not-recorded",
                logging.WARNING,
                request=order.request_id,
                step="record-claim",
                peer=error.peer,
                error=error,
            )
        return _create_answer(order, reply)

    async def run_with_ticket(
        self, order: _orderdispatchers.Order
    ) -> model.OrderAnswer:
        """Runs an order on the host that issued its ticket.

        Raises:
          RequestError: The ticket is missing or malformed.
        """
        if not order.request.ticket:
            raise model.RequestError(
                "ticket is missing; request one from the tickets endpoint",
                step="check-order",
            )
        ticket_id = _tickets.parse_ticket(order.request.ticket)
        if self._tickets.was_issued_here(ticket_id):
            return await self._run_issued_here(order, ticket_id)
        return await self._forward_to_issuer(order, ticket_id)

    async def _run_issued_here(
        self, order: _orderdispatchers.Order, ticket_id: _tickets.TicketId
    ) -> model.OrderAnswer:
        ticket = self._tickets.find(ticket_id)
        if ticket is None or ticket.search != order.name:
            return _create_unknown_answer(order, model.Reason.TICKET_INVALID)
        fingerprint = _compute_fingerprint(order)
        if ticket.fingerprint:
            return await self._await_recorded_answer(order, ticket)
        if not self._tickets.is_valid(ticket):
            return _create_answer(
                order,
                model.HomeOrderReply(
                    model.Outcome.NOT_RUN, model.Reason.TICKET_INVALID
                ),
            )
        ticket.fingerprint = fingerprint
        run_task = asyncio.ensure_future(
            self._run_and_record(order, ticket, fingerprint)
        )
        # A disconnecting caller does not cancel the order, so that a resend of
        # the same ticket gets its answer.
        return await asyncio.shield(run_task)

    async def _run_and_record(
        self,
        order: _orderdispatchers.Order,
        ticket: _tickets.IssuedTicket,
        fingerprint: str,
    ) -> model.OrderAnswer:
        try:
            reply = await self._dispatcher.run(order, fingerprint)
        except BaseException:
            ticket.answer = _create_unknown_answer(
                order, model.Reason.ALREADY_SENT
            )
            ticket.answered.set()
            raise
        answer = _create_answer(order, reply)
        if reply.outcome is model.Outcome.NOT_RUN:
            # No server ran the order, so a resend of the ticket may run it.
            ticket.fingerprint = ""
        ticket.answer = answer
        ticket.answered.set()
        if reply.outcome is model.Outcome.NOT_RUN:
            ticket.answer = None
            ticket.answered = asyncio.Event()
        return answer

    async def _await_recorded_answer(
        self, order: _orderdispatchers.Order, ticket: _tickets.IssuedTicket
    ) -> model.OrderAnswer:
        """Waits for the answer to the first request with this ticket.

        The outcome is unknown if the ticket was used for a different order or
        the first request has no answer by the deadline.
        """
        if ticket.fingerprint != _compute_fingerprint(order):
            return _create_unknown_answer(order, model.Reason.ALREADY_SENT)
        remaining_ms = order.deadline_ms - self._clock.now_ms()
        try:
            await asyncio.wait_for(
                ticket.answered.wait(), model.to_seconds(remaining_ms)
            )
        except TimeoutError:
            return _create_unknown_answer(order, model.Reason.ALREADY_SENT)
        if ticket.answer is None:
            return _create_answer(
                order,
                model.HomeOrderReply(
                    model.Outcome.NOT_RUN, model.Reason.NO_SERVER
                ),
            )
        return attrs.evolve(ticket.answer, request_id=order.request_id)

    async def _forward_to_issuer(
        self, order: _orderdispatchers.Order, ticket_id: _tickets.TicketId
    ) -> model.OrderAnswer:
        """Forwards an order to the issuer of its ticket.

        Only the issuer may run the order. If the issuer is not known or has
        restarted, the outcome is unknown, since the order may have run there
        before.
        """
        record = self._memberships.find_host_record(ticket_id.host)
        if record is None or record.incarnation != ticket_id.incarnation:
            return _create_unknown_answer(
                order, model.Reason.ISSUER_UNAVAILABLE
            )
        remaining_ms = order.deadline_ms - self._clock.now_ms()
        request = attrs.evolve(
            order.request, deadline_ms=max(1, int(remaining_ms))
        )
        reply = await _orderdispatchers.post_order(
            self._session,
            f"{self._scheme}://{record.address}/peer/forwarded-order",
            model.ForwardedOrder(order.request_id, order.name, request),
            remaining_ms + _orderdispatchers.REPLY_GRACE_MS,
            model.OrderAnswer,
        )
        if isinstance(reply, model.OrderAnswer):
            return reply
        # Without the issuer's answer the outcome is unknown: an earlier request
        # with this ticket may have run there.
        return _create_unknown_answer(order, model.Reason.ISSUER_UNAVAILABLE)


def _compute_fingerprint(order: _orderdispatchers.Order) -> str:
    return policy.compute_fingerprint(order.name, order.request.order)


def _create_unknown_answer(
    order: _orderdispatchers.Order, reason: model.Reason
) -> model.OrderAnswer:
    return _create_answer(
        order, model.HomeOrderReply(model.Outcome.UNKNOWN, reason)
    )


def _create_answer(
    order: _orderdispatchers.Order, reply: model.HomeOrderReply
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
    coordinator: _entries.SearchCoordinator,
    directory: _replicas.ReplicaDirectory,
    memberships: _memberships.Memberships,
    claims: store.ClaimStore,
    metrics: _metrics.Metrics,
    clock: model.Clock,
) -> Orders:
    """Creates the order service of this host and its ticket registry."""
    dispatcher = _orderdispatchers.OrderDispatcher(
        transport.session, transport.scheme, directory, memberships, clock
    )
    tickets = _tickets.create_ticket_registry(
        settings.host,
        incarnation,
        settings.limits.ticket_ms,
        settings.limits.order_memory_ms,
        clock,
    )
    return Orders(
        coordinator,
        dispatcher,
        claims,
        tickets,
        memberships,
        transport.session,
        transport.scheme,
        metrics,
        clock,
    )
