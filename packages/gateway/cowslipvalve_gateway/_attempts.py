"""Attempts of a call to get an answer from one server."""

import asyncio

import attrs

from cowslipvalve_gateway import _budgets
from cowslipvalve_gateway import _limiters
from cowslipvalve_gateway import _servers


@attrs.frozen(kw_only=True)
class Repeat:
    """Marks a call whose request another host may have sent to servers."""

    # The server that the other host asked first, empty if it is unknown.
    server: str

    def find_excluded(
        self, usable: list[_servers.ServerView], max_attempts: int
    ) -> list[_servers.ServerView]:
        """Returns the servers to leave out, to keep to the route's attempts."""
        if len(usable) <= max_attempts:
            return []
        return [v for v in usable if v.server.instance_id != self.server]

    def leaves_none(
        self, usable: list[_servers.ServerView], max_attempts: int
    ) -> bool:
        """Whether the route's attempts allow none of the usable servers."""
        excluded = self.find_excluded(usable, max_attempts)
        return bool(usable) and len(excluded) == len(usable)


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One attempt to send the request to one server."""

    # The server.
    view: _servers.ServerView
    # What was taken from the budget for the attempt; None if it is the first.
    extra: _budgets.ExtraAttempt | None
    # Whether the attempt is sent though another one may still be answered.
    is_hedge: bool
    # Whether a connection to another server broke under the request before, or
    # may have done so at another host.
    is_resent: bool
    # How the server's limit allows the attempt.
    admission: _limiters.Admission
    # The task that waits for the answer.
    task: asyncio.Task[None] | None = None
    # When the request was sent, on the process's clock; None before that.
    sent_ms: float | None = None
    # Whether what was taken for the attempt was returned.
    is_refunded: bool = False

    @property
    def kind(self) -> str:
        """The kind of the attempt for logs and metrics."""
        if self.is_hedge:
            return "hedge"
        return "retry" if self.extra else "first"
