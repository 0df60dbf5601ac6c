"""Reading of response bodies of bounded size."""

import aiohttp

import cowslipvalve_base as base

# Several times the largest page of the store or state of a large deployment.
MAX_BODY_BYTES = 16_777_216


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Returns the whole decompressed body of a response.

    Raises:
      InputError: The body is longer; the connection is closed.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise base.InputError(
                f"the response body exceeds {max_bytes} bytes",
                step="read-body",
            )
    return bytes(body)
