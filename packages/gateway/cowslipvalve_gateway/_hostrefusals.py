"""Refusals of hosts that are asked to send requests to servers for others."""

import enum

import aiohttp
from aiohttp import web

from cowslipvalve_gateway import _errors

_REFUSAL_HEADER = "Host-Refusal"
_HTTP_UNAVAILABLE = 503


class HostRefusalReason(enum.Enum):
    """Why a host sends nothing for another one."""

    # It does not reach the servers either.
    STRANDED = "stranded"
    # It has enough to do for its own callers.
    BUSY = "busy"
    # It is about to stop.
    STOPPING = "stopping"


class HostRefusedError(_errors.UnsentError):
    """Another host has refused a request without sending it.

    Attributes:
      reason: Why it refused.
    """

    def __init__(self, reason: HostRefusalReason, peer: str) -> None:
        super().__init__(
            f"the host refused: {reason.value}", step="ask-host", peer=peer
        )
        self.reason = reason


def create_response(reason: HostRefusalReason) -> web.Response:
    """Creates the response of a host that has sent nothing."""
    return web.Response(
        status=_HTTP_UNAVAILABLE, headers={_REFUSAL_HEADER: reason.value}
    )


def raise_if_refused(response: aiohttp.ClientResponse, peer: str) -> None:
    """Raises an error if a host refused a request.

    Raises:
      HostRefusedError: The host refused and has sent nothing.
    """
    text = response.headers.get(_REFUSAL_HEADER)
    if response.status != _HTTP_UNAVAILABLE or text is None:
        return
    try:
        reason = HostRefusalReason(text)
    except ValueError:  # A later version's; it has sent nothing either.
        reason = HostRefusalReason.BUSY
    raise HostRefusedError(reason, peer)
