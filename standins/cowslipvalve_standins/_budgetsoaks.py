"""Real hosts in series of faults, whose servers fail and cause retries."""

import asyncio
import itertools
import pathlib
import random
import signal
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from aiohttp import web

from cowslipvalve_standins import _arrivals
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _wiredeployments
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

_HOST_COUNT = 8
_SERVER_COUNT = 4
_SERVICE = "orders"
_ROUTE_TIMEOUT_MS = 1_500
_MAX_ATTEMPTS = 3
_REQUESTS_PER_S = 40.0
_DEADLINE_MS = 3_000
_FAULT_INTERVAL_S = 1.5
_PAUSE_S = 0.8
_START_DELAY_S = 0.1
# Hosts of a deployment run for so long before callers come.
_LEAD_S = 14.0
_MS_PER_S = 1_000.0
_SERVER_FAULTS = (
    _wireserver.ServerFaults(rejects=True),
    _wireserver.ServerFaults(status=500),
    _wireserver.ServerFaults(loses_answers=True),
    _wireserver.ServerFaults(cuts_answers=True),
)
_SLOW = _wireserver.ServerFaults(work_ms=600.0)


@attrs.frozen(kw_only=True)
class BudgetResult:
    """The result of one run."""

    # The requests that callers sent.
    requests: int
    # The requests that were answered with status 200.
    served: int
    # All extra arrivals at the servers.
    extra: int
    # The window with the most extra arrivals beyond those allowed.
    worst: _arrivals.WindowUse


class BudgetSoak:
    """Runs hosts under load while their servers and they themselves fail."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self._folder = folder
        self._rng = random.Random(seed)
        self._store = _wirestore.create_wire_store()
        self._runner = web.AppRunner(
            self._store.create_app(), access_log=None, shutdown_timeout=0.1
        )
        self._servers: list[_wireserver.WireServer] = []
        self._hosts: list[_hostprocesses.HostProcess] = []
        self._store_address = ""
        self._sent_ms: list[float] = []
        self._served = 0
        self._numbers = itertools.count(1)
        self._host_numbers = itertools.count()

    async def run(self, fault: str, duration_s: float) -> BudgetResult:
        """Runs hosts for a time in which a fault comes again and again.

        Args:
          fault: One of HOST_FAULTS.
          duration_s: The time under load.
        """
        try:
            await self._start()
            tasks = [
                asyncio.ensure_future(step)
                for step in (
                    self._load(),
                    self._vary_servers(fault == "slow"),
                    self._fail_hosts(HOST_FAULTS[fault]),
                )
            ]
            await asyncio.wait(
                tasks,
                timeout=duration_s,
                return_when=asyncio.FIRST_EXCEPTION,
            )
            for task in tasks:
                if task.done():
                    task.result()  # Raises the error that ended the task.
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            await self._stop()
        extra_ms = _arrivals.find_extra(
            r for s in self._servers for r in s.received_requests
        )
        return BudgetResult(
            requests=len(self._sent_ms),
            served=self._served,
            extra=len(extra_ms),
            worst=_arrivals.find_worst_window(extra_ms, self._sent_ms),
        )

    async def _start(self) -> None:
        await self._runner.setup()
        port = _deployments.choose_ports(1)[0]
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._store_address = f"127.0.0.1:{port}"
        domains = itertools.cycle(_hostprocesses.DOMAINS)
        for number in range(_SERVER_COUNT):
            server = _wireserver.create_wire_server(
                f"i-{number}", (_wiredeployments.create_record(number),)
            )
            await server.start()
            self._servers.append(server)
            entry = _wiredeployments.create_registration(
                server, _SERVICE, zone=next(domains)
            )
            self._store.put("servers", server.instance_id, entry)
        route = _wiredeployments.create_route(
            "read",
            "/read/",
            **{
                "service": _SERVICE,
                "timeout-ms": _ROUTE_TIMEOUT_MS,
                "max-attempts": _MAX_ATTEMPTS,
            },
        )
        config = _wiredeployments.create_config(1, [route])
        self._store.put("config", "main", config)
        for _ in range(_HOST_COUNT):
            await self._add_host()
        async with aiohttp.ClientSession() as session:
            for host in self._hosts:
                await host.wait_until_ready(session)
        await asyncio.sleep(_LEAD_S)

    async def _add_host(self) -> None:
        number = next(self._host_numbers)
        domain = list(_hostprocesses.DOMAINS)[
            number % len(_hostprocesses.DOMAINS)
        ]
        host = _hostprocesses.create_host_process(
            f"{domain}-{number}", domain, self._folder, self._store_address
        )
        host.seeds = tuple(h.state_address for h in self._hosts[:3])
        await host.start()
        self._hosts.append(host)
        await asyncio.sleep(_START_DELAY_S)

    async def _stop(self) -> None:
        for host in self._hosts:
            await host.kill()
        for server in self._servers:
            await server.stop()
        await self._runner.cleanup()

    async def _load(self) -> None:
        calls: set[asyncio.Task[None]] = set()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                while True:
                    task = asyncio.ensure_future(self._call(session))
                    calls.add(task)
                    task.add_done_callback(calls.discard)
                    await asyncio.sleep(self._rng.expovariate(_REQUESTS_PER_S))
            finally:
                for task in calls:
                    task.cancel()

    async def _call(self, session: aiohttp.ClientSession) -> None:
        number = next(self._numbers)
        host = self._rng.choice(self._hosts)
        self._sent_ms.append(asyncio.get_running_loop().time() * _MS_PER_S)
        try:
            async with session.get(
                f"http://{host.caller_address}/read/{number}",
                headers={
                    "Host": _wiredeployments.HOST_NAME,
                    "Request-Id": f"r{number}",
                    "Deadline-Ms": str(_DEADLINE_MS),
                },
                timeout=aiohttp.ClientTimeout(total=_DEADLINE_MS / _MS_PER_S),
            ) as response:
                await response.read()
                self._served += response.ok
        except (TimeoutError, aiohttp.ClientError, OSError):
            return  # The host was killed or paused.

    async def _vary_servers(self, is_slow: bool) -> None:
        faults = (*_SERVER_FAULTS, _SLOW) if is_slow else _SERVER_FAULTS
        while True:
            for server in self._servers:
                server.faults = self._rng.choice(faults)
            await asyncio.sleep(_FAULT_INTERVAL_S)

    async def _fail_hosts(
        self, step: Callable[["BudgetSoak"], Awaitable[None]]
    ) -> None:
        while True:
            await step(self)
            await asyncio.sleep(_FAULT_INTERVAL_S)

    async def leave(self) -> None:
        """Leaves all hosts as they are."""

    async def kill(self) -> None:
        """Kills a host and starts it at once."""
        host = self._rng.choice(self._hosts)
        await host.kill()
        await host.start()

    async def pause(self) -> None:
        """Pauses a host for a time."""
        host = self._rng.choice(self._hosts)
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        host.send_signal(signal.SIGCONT)

    async def restart(self) -> None:
        """Stops a host in an orderly way and starts it once it has ended."""
        host = self._rng.choice(self._hosts)
        host.send_signal(signal.SIGTERM)
        await host.wait()
        await host.start()

    async def replace(self) -> None:
        """Stops a host in an orderly way and starts one of another name."""
        host = self._hosts.pop(self._rng.randrange(len(self._hosts)))
        await self._add_host()
        host.send_signal(signal.SIGTERM)
        await host.wait()


# The faults of hosts by name.
HOST_FAULTS: dict[str, Callable[[BudgetSoak], Awaitable[None]]] = {
    "none": BudgetSoak.leave,
    "slow": BudgetSoak.leave,
    "kill": BudgetSoak.kill,
    "pause": BudgetSoak.pause,
    "restart": BudgetSoak.restart,
    "replace": BudgetSoak.replace,
}
