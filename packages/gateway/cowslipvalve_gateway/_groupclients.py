"""Client side of group requests between hosts."""

from collections.abc import AsyncGenerator

import aiohttp

from cowslipvalve_gateway import _groupmessages
from cowslipvalve_gateway import _hoststreams


class GroupClient:
    """Sends group requests to other hosts and reads their reports."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    def ask(
        self,
        address: str,
        message: _groupmessages.GroupRequest,
        silence_ms: float,
    ) -> AsyncGenerator[_groupmessages.GroupReport, None]:
        """Yields the reports of a host until its response ends.

        Args:
          address: The state address of the host.
          message: The request.
          silence_ms: The longest time to connect, and to wait for a report.

        Raises:
          UnsentError: The host could not be reached; it has not the request.
          HostRefusedError: The host refused the request and has sent nothing.
          HostUnavailableError: The host did not ask its group, its response
            broke off or is invalid, or it was silent for too long.
        """
        return _hoststreams.ask(
            self._session,
            address,
            _groupmessages.GROUP_PATH,
            message,
            _groupmessages.GroupReport,
            silence_ms,
            silence_ms,
        )


def create_group_client(session: aiohttp.ClientSession) -> GroupClient:
    """Creates a client for the group requests of this host."""
    return GroupClient(session)
