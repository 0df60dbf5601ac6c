"""Sending one request to one server."""

from collections.abc import Callable
from typing import Protocol

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _connections
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers


class ServerProtocol(Protocol):
    """How the servers of a platform are spoken to."""

    def encode(
        self,
        request: _calls.CallerRequest,
        server: _resources.Server,
        left_ms: float,
    ) -> bytes:
        """Returns the whole request as it is sent to a server."""

    def is_answer_to(
        self, request: _calls.CallerRequest, answer: _connections.RawAnswer
    ) -> bool:
        """Whether an answer may belong to a request."""

    def decode(
        self, server: _resources.Server, answer: _connections.RawAnswer
    ) -> _calls.ServerAnswer:
        """Returns what a server answered.

        Raises:
          RejectedError: The server has not run the request.
          LostAnswerError: The answer cannot be passed on.
        """

    def idle_timeout_s(self, answer: _connections.RawAnswer) -> float | None:
        """Returns how long the server keeps an idle connection, if it says."""


class ServerClient:
    """Calls servers over their kept connections."""

    def __init__(self, protocol: ServerProtocol, clock: base.Clock) -> None:
        self._protocol = protocol
        self._clock = clock

    async def call(
        self,
        view: _servers.ServerView,
        request: _calls.CallerRequest,
        deadline_ms: float,
        connect_timeout_ms: float,
        must_be_new: bool,
        on_sent: Callable[[], None],
    ) -> _calls.ServerAnswer:
        """Returns the answer of a server.

        Args:
          view: The server.
          request: The request.
          deadline_ms: The clock's time at which the server shall give up.
          connect_timeout_ms: The longest wait for a connection.
          must_be_new: Whether a kept connection must not be used.
          on_sent: Called just before the request is written.

        Raises:
          UnsentError: Nothing was sent.
          PoolBusyError: Nothing was sent, for want of a connection.
          RejectedError: The server has not run the request.
          LostAnswerError: It may have run, and there is no whole answer.
        """
        view.cancel_superseded_if_full()
        connection = await view.pool.acquire(connect_timeout_ms, must_be_new)
        attempt_number = view.start_attempt()
        try:
            on_sent()
            left_ms = max(1.0, deadline_ms - self._clock.now_ms())
            answer = await connection.exchange(
                self._protocol.encode(request, view.server, left_ms),
                lambda raw: self._protocol.is_answer_to(request, raw),
            )
            connection.idle_timeout_s = self._protocol.idle_timeout_s(answer)
        except BaseException:
            # A cancelled request is dropped by the server when its
            # connection closes.
            connection.close()
            raise
        finally:
            view.end_attempt(attempt_number)
            view.pool.release(connection)
        return self._protocol.decode(view.server, answer)


def create_server_client(
    protocol: ServerProtocol, clock: base.Clock
) -> ServerClient:
    """Returns the client of all servers."""
    return ServerClient(protocol, clock)
