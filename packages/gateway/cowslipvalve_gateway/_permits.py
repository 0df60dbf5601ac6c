"""Permits by which a host with a share of a limit lets another host send."""

import aiohttp
import attrs

from cowslipvalve_gateway import _hostposts

PERMIT_PATH = "/permit"


@attrs.frozen(kw_only=True)
class PermitRequest:
    """Asks for a permit to send one request to a server."""

    # The server.
    server: str
    # The limit that the asking host knows, and how many ms ago it was stated.
    requests_per_s: float
    age_ms: float


@attrs.frozen(kw_only=True)
class PermitReply:
    """Whether one request may be sent to the server."""

    is_granted: bool
    # After how many ms another permit may be had.
    wait_ms: float
    # The limit that the answering host knows, None if the server states none,
    # and how many ms ago it was stated.
    requests_per_s: float | None
    age_ms: float


class PermitClient:
    """Asks other hosts for permits."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def ask(
        self, address: str, request: PermitRequest, timeout_ms: float
    ) -> PermitReply:
        """Returns the reply of a host.

        Args:
          address: The state address of the host.
          request: The request.
          timeout_ms: How long to wait for the reply.

        Raises:
          HostUnavailableError: The host did not return a valid reply.
        """
        return await _hostposts.ask(
            self._session,
            address,
            PERMIT_PATH,
            request,
            PermitReply,
            timeout_ms,
        )


def create_permit_client(session: aiohttp.ClientSession) -> PermitClient:
    """Creates a client for the permits of other hosts."""
    return PermitClient(session)
