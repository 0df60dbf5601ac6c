"""Client side of relayed requests between hosts."""

from collections.abc import AsyncGenerator

import aiohttp

from cowslipvalve_gateway import _hoststreams
from cowslipvalve_gateway import _relaymessages


class RelayClient:
    """Sends requests to other hosts, which relay them to servers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    def ask(
        self,
        address: str,
        message: _relaymessages.RelayRequest,
        connect_timeout_ms: float,
        silence_ms: float,
    ) -> AsyncGenerator[_relaymessages.RelayReport, None]:
        """Yields the reports of a host until its response ends.

        Args:
          address: The state address of the host.
          message: The request.
          connect_timeout_ms: The longest time to connect.
          silence_ms: The longest time to wait for a report.

        Raises:
          UnsentError: The host could not be reached; it has not the request.
          HostRefusedError: The host refused the request and has sent nothing.
          HostUnavailableError: The response broke off or is invalid, or the
            host was silent for too long; servers may have the request.
        """
        return _hoststreams.ask(
            self._session,
            address,
            _relaymessages.RELAY_PATH,
            message,
            _relaymessages.RelayReport,
            connect_timeout_ms,
            silence_ms,
        )


def create_relay_client(session: aiohttp.ClientSession) -> RelayClient:
    """Creates a client for the relayed requests of this host."""
    return RelayClient(session)
