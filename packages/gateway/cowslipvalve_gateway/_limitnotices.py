"""Notices by which hosts tell each other of a server's rate limit."""

import aiohttp
import attrs

from cowslipvalve_gateway import _hostposts

NOTICE_PATH = "/limit"


@attrs.frozen(kw_only=True)
class LimitNotice:
    """Tells another host of a change of a server's rate limit."""

    # The server.
    server: str
    # The limit, None if the server states none, and how many ms ago the server
    # stated it.
    requests_per_s: float | None
    age_ms: float


class NoticeClient:
    """Sends notices to other hosts."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def tell(
        self, address: str, notice: LimitNotice, timeout_ms: float
    ) -> None:
        """Sends a notice to a host.

        Args:
          address: The state address of the host.
          notice: The notice.
          timeout_ms: How long to wait until the host has taken it.

        Raises:
          HostUnavailableError: The host did not take the notice.
        """
        await _hostposts.post(
            self._session, address, NOTICE_PATH, notice, timeout_ms
        )


def create_notice_client(session: aiohttp.ClientSession) -> NoticeClient:
    """Creates a client that tells other hosts of rate limits."""
    return NoticeClient(session)
