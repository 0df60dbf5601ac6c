"""Tickets that this incarnation of the host has issued."""

import asyncio
import collections
import itertools

import attrs

import cowslipvalve_model as model

_MAX_TICKETS = 100_000
_SEPARATOR = "/"
_FIELD_COUNT = 3


@attrs.frozen
class TicketId:
    """What the text of a ticket says."""

    # The host that issued it.
    host: str
    # The incarnation of that host.
    incarnation: int
    # The number that the incarnation gave it.
    number: int


def format_ticket(ticket_id: TicketId) -> str:
    """Returns the text of a ticket."""
    return _SEPARATOR.join(
        (ticket_id.host, str(ticket_id.incarnation), str(ticket_id.number))
    )


def parse_ticket(text: str) -> TicketId:
    """Returns what the text of a ticket says.

    Raises:
      RequestError: The text is no ticket.
    """
    fields = text.split(_SEPARATOR)
    if (
        len(fields) != _FIELD_COUNT
        or not fields[1].isdigit()
        or not fields[2].isdigit()
    ):
        raise model.RequestError(
            "ticket is malformed; send it as the tickets endpoint gave it",
            step="parse-ticket",
        )
    return TicketId(fields[0], int(fields[1]), int(fields[2]))


@attrs.define(eq=False)
class IssuedTicket:
    """A ticket and what became of its order."""

    # The search that it is for.
    search: str
    # The time until which an unused ticket may be used, in ms.
    valid_until_ms: float
    # The first order that came with the ticket, as its fingerprint.
    fingerprint: str = ""
    # The answer, once there is one.
    answer: model.OrderAnswer | None = None
    # Set when the answer is there.
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)


class TicketRegistry:
    """The tickets that this incarnation may run, in memory only."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        valid_ms: int,
        retention_ms: int,
        clock: model.Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._valid_ms = valid_ms
        self._retention_ms = retention_ms
        self._clock = clock
        self._numbers = itertools.count(1)
        self._tickets: collections.OrderedDict[int, IssuedTicket] = (
            collections.OrderedDict()
        )

    def issue(self, search: str) -> model.Ticket:
        """Returns a new ticket.

        Raises:
          NotRunError: Too many tickets are kept; nothing was run.
        """
        self._evict_expired()
        if len(self._tickets) >= _MAX_TICKETS:
            raise model.NotRunError(
                "this host keeps too many tickets; ask again later",
                reason=model.Reason.QUEUE_FULL,
                step="issue-ticket",
            )
        number = next(self._numbers)
        valid_until_ms = self._clock.now_ms() + self._valid_ms
        self._tickets[number] = IssuedTicket(search, valid_until_ms)
        ticket_id = TicketId(self._host, self._incarnation, number)
        return model.Ticket(
            ticket=format_ticket(ticket_id), valid_ms=self._valid_ms
        )

    def was_issued_here(self, ticket_id: TicketId) -> bool:
        """Whether this very incarnation has issued a ticket."""
        return (ticket_id.host, ticket_id.incarnation) == (
            self._host,
            self._incarnation,
        )

    def find(self, ticket_id: TicketId) -> IssuedTicket | None:
        """Returns a ticket of this incarnation, none once it is forgotten."""
        return self._tickets.get(ticket_id.number)

    def is_valid(self, ticket: IssuedTicket) -> bool:
        """Whether an unused ticket may still be used."""
        return self._clock.now_ms() < ticket.valid_until_ms

    def _evict_expired(self) -> None:
        """Drops tickets, oldest first, that were void for long enough."""
        cutoff_ms = self._clock.now_ms() - self._retention_ms
        while self._tickets:
            number, ticket = next(iter(self._tickets.items()))
            if ticket.valid_until_ms > cutoff_ms:
                break
            del self._tickets[number]


def create_ticket_registry(
    host: str,
    incarnation: int,
    valid_ms: int,
    retention_ms: int,
    clock: model.Clock,
) -> TicketRegistry:
    """Returns the empty book of a host that has just started."""
    return TicketRegistry(host, incarnation, valid_ms, retention_ms, clock)
