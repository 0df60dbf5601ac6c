"""Tickets that the current incarnation of this host has issued."""

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
    """The identity of a ticket, encoded in its text."""

    # The host that issued the ticket.
    host: str
    # The incarnation of that host.
    incarnation: int
    # The number of the ticket, unique within the incarnation.
    number: int


def format_ticket(ticket_id: TicketId) -> str:
    """Returns the text of a ticket."""
    return _SEPARATOR.join(
        (ticket_id.host, str(ticket_id.incarnation), str(ticket_id.number))
    )


def parse_ticket(text: str) -> TicketId:
    """Returns the identity that the text of a ticket encodes.

    Raises:
      RequestError: The text is malformed.
    """
    fields = text.split(_SEPARATOR)
    if (
        len(fields) != _FIELD_COUNT
        or not fields[1].isdigit()
        or not fields[2].isdigit()
    ):
        raise model.RequestError(
            "ticket is malformed; send the text that the tickets endpoint"
            " returned",
            step="parse-ticket",
        )
    return TicketId(fields[0], int(fields[1]), int(fields[2]))


@attrs.define(eq=False)
class IssuedTicket:
    """A ticket and the state of its order."""

    # The search that the ticket is valid for.
    search: str
    # The time until which the ticket may be used first, in ms on this host's
    # clock.
    valid_until_ms: float
    # The fingerprint of the order that the ticket was used for, empty while the
    # ticket is unused.
    fingerprint: str = ""
    # The answer of the order, or None while there is none.
    answer: model.OrderAnswer | None = None
    # Set once the answer is available.
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)


class TicketRegistry:
    """Holds the tickets of this incarnation.

    Tickets are kept in memory only, so a restarted host cannot run the tickets
    of its earlier incarnations.
    """

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
          NotRunError: The registry is full.
        """
        self._evict_expired()
        if len(self._tickets) >= _MAX_TICKETS:
            raise model.NotRunError(
                "this host holds too many tickets; request one again later",
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
        """Whether this incarnation of this host issued a ticket."""
        return (ticket_id.host, ticket_id.incarnation) == (
            self._host,
            self._incarnation,
        )

    def find(self, ticket_id: TicketId) -> IssuedTicket | None:
        """Returns a ticket of this incarnation, or None if it was evicted."""
        return self._tickets.get(ticket_id.number)

    def is_valid(self, ticket: IssuedTicket) -> bool:
        """Whether an unused ticket has not expired yet."""
        return self._clock.now_ms() < ticket.valid_until_ms

    def _evict_expired(self) -> None:
        """Evicts the oldest tickets once their retention time has passed."""
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
    """Creates the empty registry of a host that has just started.

    Args:
      host: The name of this host.
      incarnation: The incarnation of this host.
      valid_ms: The time after which an unused ticket expires, in ms.
      retention_ms: The time for which an expired ticket and the answer of its
        order are kept for resends, in ms.
      clock: The clock of this host.
    """
    return TicketRegistry(host, incarnation, valid_ms, retention_ms, clock)
