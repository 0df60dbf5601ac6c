"""Tells servers that have crashed from those that broke a connection."""

import asyncio

import cowslipvalve_backend as backend
import cowslipvalve_model as model

# A process that ends may close its listening socket after its connections.
_DELAY_MS = 30
_TIMEOUT_MS = 200


async def is_running(
    client: backend.ServerClient, boot_id: str, clock: model.Clock
) -> bool:
    """Whether a server that broke a connection shows that it runs on.

    Args:
      client: The client of the server.
      boot_id: The boot id that the server had before, empty if unknown.
      clock: The clock for the delay before the server is asked.
    """
    await clock.sleep_ms(_DELAY_MS)
    try:
        async with asyncio.timeout(model.to_seconds(_TIMEOUT_MS)):
            state = await client.read_state()
    except (TimeoutError, model.NotRunError):
        return False
    return bool(boot_id) and state.boot_id == boot_id
