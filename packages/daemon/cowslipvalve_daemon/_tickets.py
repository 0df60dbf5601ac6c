"""Tickets that this incarnation of the host has issued."""

import asyncio
import collections
import itertools

import attrs

import cowslipvalve_model as model

_MAX_TICKETS = 100_000
_SEPARATOR = "/"
_PARTS = 3


@attrs.frozen
class TicketName:
    """What the text of a ticket says."""

    # The host that issued it.
    host: str
    # The incarnation of that host.
    incarnation: int
    # The number that the incarnation gave it.
    number: int


def format_ticket(name: TicketName) -> str:
    """Returns the text of a ticket."""
    return _SEPARATOR.join((name.host, str(name.incarnation), str(name.number)))


def parse_ticket(text: str) -> TicketName:
    """Returns what the text of a ticket says.

    Raises:
      RequestError: The text is no ticket.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != _PARTS or not parts[1].isdigit() or not parts[2].isdigit():
        raise model.RequestError(
            "ticket is malformed; send it as the tickets endpoint gave it",
            step="parse-ticket",
        )
    return TicketName(parts[0], int(parts[1]), int(parts[2]))


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


class TicketBook:
    """The tickets that this incarnation may run, in memory only."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        valid_ms: int,
        memory_ms: int,
        clock: model.Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._valid_ms = valid_ms
        self._memory_ms = memory_ms
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
        self._forget_old()
        if len(self._tickets) >= _MAX_TICKETS:
            raise model.NotRunError(
                "this host keeps too many tickets; ask again later",
                reason=model.Reason.QUEUE_FULL,
                step="issue-ticket",
            )
        number = next(self._numbers)
        valid_until_ms = self._clock.now_ms() + self._valid_ms
        self._tickets[number] = IssuedTicket(search, valid_until_ms)
        name = TicketName(self._host, self._incarnation, number)
        return model.Ticket(ticket=format_ticket(name), valid_ms=self._valid_ms)

    def is_own(self, name: TicketName) -> bool:
        """Whether this very incarnation has issued a ticket."""
        return (name.host, name.incarnation) == (self._host, self._incarnation)

    def find(self, name: TicketName) -> IssuedTicket | None:
        """Returns a ticket of this incarnation, none once it is forgotten."""
        return self._tickets.get(name.number)

    def is_valid(self, ticket: IssuedTicket) -> bool:
        """Whether an unused ticket may still be used."""
        return self._clock.now_ms() < ticket.valid_until_ms

    def _forget_old(self) -> None:
        """Drops tickets, oldest first, that were void for long enough."""
        limit_ms = self._clock.now_ms() - self._memory_ms
        while self._tickets:
            number, ticket = next(iter(self._tickets.items()))
            if ticket.valid_until_ms > limit_ms:
                break
            del self._tickets[number]


def create_ticket_book(
    host: str,
    incarnation: int,
    valid_ms: int,
    memory_ms: int,
    clock: model.Clock,
) -> TicketBook:
    """Returns the empty book of a host that has just started."""
    return TicketBook(host, incarnation, valid_ms, memory_ms, clock)
