"""Reads the bodies of servers' replies within limits."""

import aiohttp

import cowslipvalve_model as model

# Each chunk costs time and memory whatever its size.
_CHUNK_COST_BYTES = 4_096


class ReplyTooLargeError(model.CowslipvalveError):
    """A server's reply exceeds the limits on its size."""


async def read_reply(
    response: aiohttp.ClientResponse, memory: model.AnswerMemory, peer: str
) -> bytes:
    """Returns the body of a reply; closes its connection if it is too large.

    Args:
      response: The response, whose body has not been read.
      memory: Counts the bytes of all replies that this host is receiving.
      peer: The name of the server.

    Raises:
      ReplyTooLargeError: This reply, or all together, exceed the limits.
    """
    parts: list[bytes] = []
    counted = 0
    try:
        async for data, is_chunk_end in response.content.iter_chunks():
            parts.append(data)
            count = len(data) + (_CHUNK_COST_BYTES if is_chunk_end else 0)
            counted += count
            cause = _find_excess(memory, count, counted)
            if cause:
                response.close()
                raise ReplyTooLargeError(cause, step="read-reply", peer=peer)
        return b"".join(parts)
    finally:
        # The traceback of an error would keep them.
        parts.clear()
        memory.release(counted)


def _find_excess(memory: model.AnswerMemory, count: int, counted: int) -> str:
    """Counts bytes; returns which limit a reply exceeds, if any."""
    limits = memory.limits
    is_allowed = memory.try_take(count)
    if counted > limits.max_answer_bytes:
        return f"the reply exceeds {limits.max_answer_bytes} bytes"
    if not is_allowed and counted > limits.guaranteed_bytes:
        return (
            f"all replies in progress exceed {limits.max_total_bytes} bytes;"
            f" this one has {counted}"
        )
    return ""
