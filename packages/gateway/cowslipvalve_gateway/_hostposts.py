"""Short messages to other hosts (HTTP, JSON)."""

import aiohttp

import cowslipvalve_base as base
from cowslipvalve_gateway import _bodies
from cowslipvalve_gateway import _errors

_HTTP_OK = 200


async def post(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    message: object,
    timeout_ms: float,
) -> bytes:
    """Sends a message to another host and returns the body of the response.

    Args:
      session: The HTTP session.
      address: The state address of the host.
      path: What the message is about.
      message: The message, encoded as JSON.
      timeout_ms: How long to wait for the response.

    Raises:
      HostUnavailableError: The host did not take the message.
    """
    timeout = aiohttp.ClientTimeout(total=base.to_seconds(timeout_ms))
    try:
        async with session.post(
            f"http://{address}{path}",
            data=base.encode(message),
            timeout=timeout,
        ) as response:
            body = await _bodies.read_body(response)
        if response.status == _HTTP_OK:
            return body
        cause = f"status {response.status}"
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        base.InputError,
    ) as error:
        cause = repr(error)
    raise _errors.HostUnavailableError(
        f"the host did not answer: {cause}", step=f"post {path}", peer=address
    )
