"""The faults of the soak: drawn from a seed, injected from outside."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _proxies
from cowslipvalve_standins import _soakworld
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

_DRAIN_S = 3.5  # Longer than a change may take to be in force.
_STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"status": 503},
    {"status": 429},
    {"is_silent": True},
    {"loses_answers": True},
)
_SERVER_FAULTS: tuple[dict[str, Any], ...] = (
    {"work_ms": 300.0},
    {"rejects": True},
    {"cuts_answers": True},
    {"loses_answers": True},
    {"extra_after_ms": 5.0},
    {"status": 500},
    {"omits_proof": True},
    {"encoding": "gzip"},
)
_LINK_FAULTS = (
    _proxies.LinkFault(delay_ms=200.0),
    _proxies.LinkFault(is_deaf=True),
    _proxies.LinkFault(is_mute=True),
    _proxies.LinkFault(is_deaf=True, is_mute=True),
    _proxies.LinkFault(refuses=True),
)


@attrs.frozen(kw_only=True)
class Fault:
    """One entry of a schedule."""

    # When it begins, in s after the hosts were ready.
    at_s: float
    # How long it lasts.
    for_s: float
    # The name of its kind.
    kind: str
    # What it draws its choices from.
    seed: int


class Injector:
    """Carries out a schedule; entries may overlap.

    Attributes:
      unexpected: The hosts that ended by themselves or in the wrong way.
    """

    def __init__(self, world: _soakworld.SoakWorld) -> None:
        self._world = world
        self._store_faults = 0
        # A host that a fault has ended belongs to that fault until it is back.
        self._taken: set[str] = set()
        self.unexpected: list[str] = []

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Injects all faults and returns when the last one is over."""
        await asyncio.gather(*(self._inject(fault) for fault in faults))
        for host in self._world.hosts:
            self._check_running(host)

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await KINDS[fault.kind](self, fault, random.Random(fault.seed))

    def _take_host(
        self, choices: random.Random
    ) -> _hostprocesses.HostProcess | None:
        free = [h for h in self._world.hosts if h.name not in self._taken]
        if len(free) <= 1:  # One host is left to its work.
            return None
        host = choices.choice(free)
        self._taken.add(host.name)
        return host

    async def kill_host(self, fault: Fault, choices: random.Random) -> None:
        """Kills a process and starts it again."""
        host = self._take_host(choices)
        if host is None:
            return
        self._check_running(host)
        await host.kill()
        await asyncio.sleep(fault.for_s / 2)
        await host.start()
        self._taken.discard(host.name)

    async def stop_host(self, fault: Fault, choices: random.Random) -> None:
        """Stops a process in order, and starts it again."""
        host = self._take_host(choices)
        if host is None:
            return
        self._check_running(host)
        for _ in range(choices.randint(1, 2)):
            host.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_hostprocesses.GRACE_S):
                status = await host.wait()
        except TimeoutError:
            self.unexpected.append(f"{host.name} outlived its grace")
            await host.kill()
        else:
            # A signal before its handler is there ends it, too.
            if status not in (0, -signal.SIGTERM):
                self.unexpected.append(f"{host.name} ended with {status}")
        await host.start()
        self._taken.discard(host.name)

    async def pause_host(self, fault: Fault, choices: random.Random) -> None:
        """Stops a process for a while, as a machine that is suspended."""
        host = self._take_host(choices)
        if host is None:
            return
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        host.send_signal(signal.SIGCONT)
        self._taken.discard(host.name)

    async def hang_up(self, fault: Fault, choices: random.Random) -> None:
        """Sends a series of SIGHUP to all hosts."""
        for _ in range(choices.randint(1, 4)):
            for host in self._world.hosts:
                if host.name not in self._taken:
                    host.send_signal(signal.SIGHUP)
            await asyncio.sleep(fault.for_s / 4)

    async def harm_store(self, fault: Fault, choices: random.Random) -> None:
        """Lets the store fail for all hosts."""
        plain = choices.choice(_STORE_FAULTS)
        self._store_faults += 1
        self._world.store.faults = _wirestore.StoreFaults(**plain)
        await asyncio.sleep(fault.for_s)
        self._store_faults -= 1
        if not self._store_faults:
            self._world.store.faults = _wirestore.StoreFaults()

    async def forget_history(self, _: Fault, __: random.Random) -> None:
        """Drops the store's history."""
        self._world.store.forget_history()

    async def harm_store_link(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Harms the links of some hosts to the store."""
        links = list(self._world.store_links.values())
        await self._harm(choices.sample(links, 2), fault, choices)

    async def harm_host_link(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Harms the link between callers and a host."""
        links = list(self._world.host_links.values())
        await self._harm([choices.choice(links)], fault, choices)

    async def harm_server_link(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Harms the links of some servers."""
        servers = list(self._world.servers.values())
        links = [server.link for server in choices.sample(servers, 3)]
        await self._harm(links, fault, choices)

    async def _harm(
        self,
        links: list[_proxies.Proxy],
        fault: Fault,
        choices: random.Random,
    ) -> None:
        if choices.random() < 1 / 4:
            for link in links:
                link.reset()
            return
        harm = choices.choice(_LINK_FAULTS)
        for link in links:
            link.set_fault(harm)
        await asyncio.sleep(fault.for_s)
        for link in links:
            link.set_fault(_proxies.LinkFault())

    async def harm_server(self, fault: Fault, choices: random.Random) -> None:
        """Lets some servers answer wrongly, slowly or not at all."""
        plain = choices.choice(_SERVER_FAULTS)
        servers = choices.sample(list(self._world.servers.values()), 2)
        for server in servers:
            server.server.faults = _wireserver.ServerFaults(**plain)
        await asyncio.sleep(fault.for_s)
        for server in servers:
            server.server.faults = _wireserver.ServerFaults()

    async def replace_server(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Ends a server without a word; another one starts later."""
        old = choices.choice(list(self._world.servers.values()))
        await self._world.remove_server(old)
        await asyncio.sleep(fault.for_s)
        await self._world.add_server(old.service, old.domain)

    async def drain_server(self, _: Fault, choices: random.Random) -> None:
        """Drains a server while its successor takes over."""
        old = choices.choice(list(self._world.servers.values()))
        await self._world.add_server(old.service, old.domain)
        old.sequence += 1
        self._world.register(old, state="draining")
        await asyncio.sleep(_DRAIN_S)
        if old.server.instance_id in self._world.servers:
            await self._world.remove_server(old)

    async def take_domain_out(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Takes a failure domain out of service for a while."""
        domain = choices.choice(list(_hostprocesses.DOMAINS))
        self._world.store.put("evacuations", domain, {})
        await asyncio.sleep(fault.for_s)
        self._world.store.delete("evacuations", domain)

    async def change_configuration(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Writes several versions in quick succession."""
        for number in range(choices.randint(1, 5)):
            self._world.configure(f"extra-{fault.seed}-{number}")
            await asyncio.sleep(fault.for_s / 8)

    def _check_running(self, host: _hostprocesses.HostProcess) -> None:
        process = host.process
        if process is not None and process.returncode is not None:
            self.unexpected.append(
                f"{host.name} ended by itself with {process.returncode}"
            )


KINDS: dict[
    str, Callable[[Injector, Fault, random.Random], Awaitable[None]]
] = {
    "kill-host": Injector.kill_host,
    "stop-host": Injector.stop_host,
    "pause-host": Injector.pause_host,
    "hang-up": Injector.hang_up,
    "harm-store": Injector.harm_store,
    "forget-history": Injector.forget_history,
    "harm-store-link": Injector.harm_store_link,
    "harm-host-link": Injector.harm_host_link,
    "harm-server-link": Injector.harm_server_link,
    "harm-server": Injector.harm_server,
    "replace-server": Injector.replace_server,
    "drain-server": Injector.drain_server,
    "take-domain-out": Injector.take_domain_out,
    "change-configuration": Injector.change_configuration,
}


def draw_faults(
    choices: random.Random, count: int, length_s: float
) -> tuple[Fault, ...]:
    """Returns a schedule; kinds may come twice and overlap."""
    return tuple(
        Fault(
            at_s=round(choices.uniform(0.0, length_s), 2),
            for_s=round(choices.uniform(0.2, 3.0), 2),
            kind=choices.choice(list(KINDS)),
            seed=choices.randrange(1 << 30),
        )
        for _ in range(count)
    )
