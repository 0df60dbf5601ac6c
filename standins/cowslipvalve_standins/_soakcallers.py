"""The callers of the soak test: an open-loop load that records each call."""

import asyncio
import itertools
import random
from collections.abc import Mapping

import aiohttp
import attrs

from cowslipvalve_standins import _soakdeployments
from cowslipvalve_standins import _wiredeployments

_REQUESTS_PER_S = 40.0
_DEADLINE_MS = 3_000
_MS_PER_S = 1_000.0
# The routes and their relative frequencies.
_ROUTE_WEIGHTS = {"all": 5, "read": 3, "write": 2}


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
        self, deployment: _soakdeployments.SoakDeployment, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._pending: set[asyncio.Task[Call]] = set()
        self.calls: list[Call] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Sends requests until the event is set, then awaits pending calls."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            while not stop.is_set():
                [route] = self._rng.choices(
                    list(_ROUTE_WEIGHTS), list(_ROUTE_WEIGHTS.values())
                )
                host = self._rng.choice(self._deployment.hosts)
                task = asyncio.ensure_future(
                    self.call(session, route, host.name)
                )
                self._pending.add(task)
                task.add_done_callback(self._pending.discard)
                await asyncio.sleep(self._rng.expovariate(_REQUESTS_PER_S))
            await asyncio.gather(*self._pending)

    async def call(
        self, session: aiohttp.ClientSession, route: str, host: str
    ) -> Call:
        """Sends one request, records its outcome and returns it."""
        number = next(self._request_numbers)
        request_id = f"r{number}"
        headers = {
            "Host": _wiredeployments.HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(_DEADLINE_MS),
        }
        sent_ms = now_ms()
        response_headers: Mapping[str, str] = {}
        status, body, error = 0, b"", ""
        try:
            async with session.request(
                "POST" if route == "write" else "GET",
                f"http://{self._deployment.host_links[host].address}"
                f"/{route}/{number}",
                headers=headers,
                data=b"order" if route == "write" else None,
                timeout=aiohttp.ClientTimeout(total=_DEADLINE_MS / _MS_PER_S),
            ) as response:
                body = await response.read()
                status, response_headers = response.status, response.headers
        except (TimeoutError, aiohttp.ClientError, OSError) as reason:
            error = repr(reason)
        call = Call(
            request_id=request_id,
            route=route,
            host=host,
            sent_ms=sent_ms,
            took_ms=now_ms() - sent_ms,
            status=status,
            headers=response_headers,
            body=body,
            error=error,
        )
        self.calls.append(call)
        return call


def now_ms() -> float:
    """Returns the current time of the event loop's clock in ms."""
    return asyncio.get_running_loop().time() * _MS_PER_S
