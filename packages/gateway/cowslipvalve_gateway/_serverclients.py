"""A client that sends requests to backend servers."""

from collections.abc import Callable
from typing import Protocol

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _connections
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers


class ServerProtocol(Protocol):
    """The wire protocol of a platform's servers."""

    def encode(
        self,
        request: _calls.CallerRequest,
        server: _resources.Server,
        remaining_ms: float,
    ) -> bytes:
        """Encodes a request with its remaining time in ms for a server."""

    def is_answer_to(
        self, request: _calls.CallerRequest, answer: _connections.RawAnswer
    ) -> bool:
        """Whether a response can be the answer to a request."""

    def decode(
        self, server: _resources.Server, answer: _connections.RawAnswer
    ) -> _calls.ServerAnswer:
        """Decodes the answer of a server.

        Raises:
          RejectedError: The server has not run the request.
          LostAnswerError: The answer is invalid and cannot be forwarded.
        """

    def idle_timeout_s(self, answer: _connections.RawAnswer) -> float | None:
        """Returns the server's idle timeout in s, None if it states none."""

    def rate_limit(self, answer: _connections.RawAnswer) -> float | None:
        """Returns the stated limit in requests per second.

        It is infinite if the server states none, and None if the answer does
        not tell.
        """

    def is_leaving(self, answer: _connections.RawAnswer) -> bool:
        """Whether the server states that it leaves."""

    def pause_ms(self, answer: _connections.RawAnswer) -> float | None:
        """Returns for how many ms the server wants no requests, if stated."""


class ServerClient:
    """Sends requests to servers over pooled connections."""

    def __init__(
        self,
        protocol: ServerProtocol,
        clock: base.Clock,
        on_limit_changed: Callable[[_servers.ServerView], None],
    ) -> None:
        self._protocol = protocol
        self._clock = clock
        self._on_limit_changed = on_limit_changed

    async def call(
        self,
        view: _servers.ServerView,
        request: _calls.CallerRequest,
        deadline_ms: float,
        connect_timeout_ms: float,
        must_be_new: bool,
        on_sent: Callable[[], None],
    ) -> _calls.ServerAnswer:
        """Sends a request to a server and returns its answer.

        Args:
          view: The server.
          request: The request.
          deadline_ms: When the server is to give up, on the process's clock.
          connect_timeout_ms: The longest wait for a connection.
          must_be_new: Whether to use a new connection instead of a pooled one.
          on_sent: Called just before the request is written.

        Raises:
          UnsentError: Nothing was sent.
          PoolBusyError: Nothing was sent because no connection was free.
          WithdrawnError: Nothing was sent because the server has stated that
            it wants no requests.
          RejectedError: The server has not run the request.
          LostAnswerError: The request may have run, but there is no complete
            answer.
        """
        view.cancel_superseded_if_full()
        connection = await view.pool.acquire(connect_timeout_ms, must_be_new)
        if view.withdrawal.is_in_force:
            view.pool.release(connection)
            raise _errors.WithdrawnError(
                "the server wants no requests now",
                step="send",
                peer=view.server.instance_id,
            )
        attempt_number = view.start_attempt()
        wait = view.link.start_wait(connection.cut)
        try:
            on_sent()
            sent_ms = self._clock.now_ms()
            remaining_ms = max(1.0, deadline_ms - sent_ms)
            answer = await connection.exchange(
                self._protocol.encode(request, view.server, remaining_ms),
                lambda raw: self._protocol.is_answer_to(request, raw),
            )
            view.link.record_reach(sent_ms, is_connect=False)
            connection.idle_timeout_s = self._protocol.idle_timeout_s(answer)
            self._record_statements(view, answer, sent_ms)
        except BaseException:
            # The server drops a cancelled request when its connection
            # closes.
            connection.close()
            raise
        finally:
            view.link.end_wait(wait)
            view.end_attempt(attempt_number)
            view.pool.release(connection)
        return self._protocol.decode(view.server, answer)

    def _record_statements(
        self,
        view: _servers.ServerView,
        answer: _connections.RawAnswer,
        sent_ms: float,
    ) -> None:
        """Records what an answer states beside the answer itself."""
        rate_limit = self._protocol.rate_limit(answer)
        if rate_limit is not None and view.rate_limit.record(
            rate_limit, sent_ms
        ):
            self._on_limit_changed(view)
        if self._protocol.is_leaving(answer):
            view.withdrawal.record_leaving()
        pause_ms = self._protocol.pause_ms(answer)
        if pause_ms is not None:
            view.withdrawal.record_pause(pause_ms)


def create_server_client(
    protocol: ServerProtocol,
    clock: base.Clock,
    on_limit_changed: Callable[[_servers.ServerView], None],
) -> ServerClient:
    """Creates the client for all servers.

    Args:
      protocol: How servers are spoken to.
      clock: The clock of the process.
      on_limit_changed: Called when an answer changes a server's rate limit.
    """
    return ServerClient(protocol, clock, on_limit_changed)
