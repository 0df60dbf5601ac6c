"""The callers of the soak test: an open-loop load that records each call."""

import asyncio
import itertools
import random
from collections.abc import Mapping

import aiohttp
import attrs

from cowslipvalve_standins import _soakworld
from cowslipvalve_standins import _wiredeployments

_PER_S = 40.0
_DEADLINE_MS = 3_000
_MS_PER_S = 1_000.0
# The routes and their relative frequencies.
_KINDS = {"all": 5, "read": 3, "write": 2}


@attrs.frozen(kw_only=True)
class Call:
    """A request of a caller and its outcome."""

    request_id: str
    # The name of the route, which is also the first segment of the path.
    route: str
    # The name of the host that was called.
    host: str
    # When the request was sent, in ms of the loop's clock.
    sent_ms: float
    # The time until the outcome in ms.
    took_ms: float
    # The HTTP status, 0 if there was no answer.
    status: int
    headers: Mapping[str, str]
    body: bytes
    # The reason why there was no answer, empty if there was one.
    error: str


class Callers:
    """Sends requests to random hosts without waiting for earlier requests.

    Attributes:
      calls: The calls that have ended, in the order of their ends.
    """

    def __init__(
        self, world: _soakworld.SoakWorld, choices: random.Random
    ) -> None:
        self._world = world
        self._random = choices
        self._numbers = itertools.count(1)
        self._running: set[asyncio.Task[Call]] = set()
        self.calls: list[Call] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Sends requests until the event is set, then awaits pending calls."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            while not stop.is_set():
                [route] = self._random.choices(
                    list(_KINDS), list(_KINDS.values())
                )
                host = self._random.choice(self._world.hosts)
                task = asyncio.ensure_future(
                    self.call(session, route, host.name)
                )
                self._running.add(task)
                task.add_done_callback(self._running.discard)
                await asyncio.sleep(self._random.expovariate(_PER_S))
            await asyncio.gather(*self._running)

    async def call(
        self, session: aiohttp.ClientSession, route: str, host: str
    ) -> Call:
        """Sends one request, records its outcome and returns it."""
        number = next(self._numbers)
        request_id = f"r{number}"
        headers = {
            "Host": _wiredeployments.HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(_DEADLINE_MS),
        }
        sent_ms = now_ms()
        answered: Mapping[str, str] = {}
        status, body, error = 0, b"", ""
        try:
            async with session.request(
                "POST" if route == "write" else "GET",
                f"http://{self._world.host_links[host].address}"
                f"/{route}/{number}",
                headers=headers,
                data=b"order" if route == "write" else None,
                timeout=aiohttp.ClientTimeout(total=_DEADLINE_MS / _MS_PER_S),
            ) as response:
                body = await response.read()
                status, answered = response.status, response.headers
        except (TimeoutError, aiohttp.ClientError, OSError) as reason:
            error = repr(reason)
        call = Call(
            request_id=request_id,
            route=route,
            host=host,
            sent_ms=sent_ms,
            took_ms=now_ms() - sent_ms,
            status=status,
            headers=answered,
            body=body,
            error=error,
        )
        self.calls.append(call)
        return call


def now_ms() -> float:
    """Returns the current time of the event loop's clock in ms."""
    return asyncio.get_running_loop().time() * _MS_PER_S
