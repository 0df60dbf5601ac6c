"""Messages by which hosts tell each other of servers' rate limits."""

import aiohttp
import attrs

from cowslipvalve_gateway import _hostposts
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _suspects

NOTICE_PATH = "/limit"
QUERY_PATH = "/limits"


@attrs.frozen(kw_only=True)
class LimitNotice:
    """Tells another host of a change of a server's rate limit."""

    # The server.
    server: str
    # The limit, None if the server states none, and how many ms ago the server
    # stated it.
    requests_per_s: float | None
    age_ms: float


@attrs.frozen(kw_only=True)
class LimitQuery:
    """Asks another host for the limits that it knows."""

    # The name of the host that asks.
    host: str


@attrs.frozen(kw_only=True)
class LimitList:
    """The limits that a host knows, and the requests that it refuses."""

    limits: tuple[LimitNotice, ...]
    quarantined: tuple[_quarantines.QuarantineEntry, ...] = ()
    # Those that it sends to one shard first.
    suspects: tuple[_suspects.SuspectEntry, ...] = ()


class NoticeClient:
    """Sends notices to other hosts and reads theirs."""

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

    async def fetch(
        self, address: str, query: LimitQuery, timeout_ms: float
    ) -> LimitList:
        """Returns the limits that a host knows.

        Args:
          address: The state address of the host.
          query: The query.
          timeout_ms: How long to wait for the reply.

        Raises:
          HostUnavailableError: The host did not return a valid reply.
        """
        return await _hostposts.ask(
            self._session, address, QUERY_PATH, query, LimitList, timeout_ms
        )


def create_notice_client(session: aiohttp.ClientSession) -> NoticeClient:
    """Creates a client that exchanges rate limits with other hosts."""
    return NoticeClient(session)
