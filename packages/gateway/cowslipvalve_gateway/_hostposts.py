"""Short messages to other hosts (HTTP, JSON)."""

import asyncio
from typing import TypeVar

import aiohttp

import cowslipvalve_base as base
from cowslipvalve_gateway import _bodies
from cowslipvalve_gateway import _errors

_HTTP_OK = 200

_Reply = TypeVar("_Reply")


async def ask(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    message: object,
    reply_type: type[_Reply],
    timeout_ms: float,
) -> _Reply:
    """Sends a message to another host and returns its reply.

    Args:
      session: The HTTP session.
      address: The state address of the host.
      path: What the message is about.
      message: The message, encoded as JSON.
      reply_type: The type of the reply.
      timeout_ms: How long to wait for the reply.

    Raises:
      HostUnavailableError: The host did not return a valid reply.
    """
    body = await post(session, address, path, message, timeout_ms)
    try:
        return base.decode(reply_type, body)
    except base.InputError as error:
        raise _errors.HostUnavailableError(
            f"the host sent no valid reply: {error}",
            step=f"post {path}",
            peer=address,
        ) from error


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
    try:
        async with (
            asyncio.timeout(base.to_seconds(timeout_ms)),
            session.post(
                f"http://{address}{path}", data=base.encode(message)
            ) as response,
        ):
            body = await _bodies.read_body(response)
        if response.status == _HTTP_OK:
            return body
        cause = f"status {response.status}"
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        ValueError,  # Of names that cannot be encoded.
        base.InputError,
    ) as error:
        cause = repr(error)
    raise _errors.HostUnavailableError(
        f"the host did not answer: {cause}", step=f"post {path}", peer=address
    )
