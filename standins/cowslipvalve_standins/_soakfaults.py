"""Fault injection of the soak test, with schedules drawn from a seed."""

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

_DRAIN_S = 3.5  # Longer than a change may take to reach all hosts.
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
    """One entry of a fault schedule.

    The soak test prints the fields under these names.
    """

    # The start, in s after all hosts became ready.
    at_s: float
    # The duration in s.
    for_s: float
    # The kind, a key of KINDS.
    kind: str
    # The seed of the random choices in this fault.
    seed: int


class Injector:
    """Injects the faults of a schedule; faults may overlap.

    Attributes:
      unexpected: A message for each host process that ended without a fault
        or with an unexpected status.
    """

    def __init__(self, world: _soakworld.SoakWorld) -> None:
        self._world = world
        self._store_faults = 0
        # The names of hosts that a fault has stopped or paused. Other faults
        # leave these hosts alone until they run again.
        self._taken: set[str] = set()
        self.unexpected: list[str] = []

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Injects all faults and returns when the last fault has ended."""
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
        if len(free) <= 1:  # At least one host always runs.
            return None
        host = choices.choice(free)
        self._taken.add(host.name)
        return host

    async def kill_host(self, fault: Fault, choices: random.Random) -> None:
        """Kills a host process and restarts it."""
        host = self._take_host(choices)
        if host is None:
            return
        self._check_running(host)
        await host.kill()
        await asyncio.sleep(fault.for_s / 2)
        await host.start()
        self._taken.discard(host.name)

    async def stop_host(self, fault: Fault, choices: random.Random) -> None:
        """Stops a host process with SIGTERM and restarts it."""
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
            # SIGTERM ends a process that has not yet installed its handler.
            if status not in (0, -signal.SIGTERM):
                self.unexpected.append(f"{host.name} ended with {status}")
        await host.start()
        self._taken.discard(host.name)

    async def pause_host(self, fault: Fault, choices: random.Random) -> None:
        """Pauses a host process, as when its machine is suspended."""
        host = self._take_host(choices)
        if host is None:
            return
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        host.send_signal(signal.SIGCONT)
        self._taken.discard(host.name)

    async def hang_up(self, fault: Fault, choices: random.Random) -> None:
        """Sends SIGHUP several times to the hosts that run."""
        for _ in range(choices.randint(1, 4)):
            for host in self._world.hosts:
                if host.name not in self._taken:
                    host.send_signal(signal.SIGHUP)
            await asyncio.sleep(fault.for_s / 4)

    async def harm_store(self, fault: Fault, choices: random.Random) -> None:
        """Makes the store fail for all hosts."""
        plain = choices.choice(_STORE_FAULTS)
        self._store_faults += 1
        self._world.store.faults = _wirestore.StoreFaults(**plain)
        await asyncio.sleep(fault.for_s)
        self._store_faults -= 1
        if not self._store_faults:
            self._world.store.faults = _wirestore.StoreFaults()

    async def forget_history(self, _: Fault, __: random.Random) -> None:
        """Drops the store's history, so that watches must list again."""
        self._world.store.forget_history()

    async def harm_store_link(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Injects a fault into the links from two hosts to the store."""
        links = list(self._world.store_links.values())
        await self._harm(choices.sample(links, 2), fault, choices)

    async def harm_host_link(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Injects a fault into the link from callers to a host."""
        links = list(self._world.host_links.values())
        await self._harm([choices.choice(links)], fault, choices)

    async def harm_server_link(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Injects a fault into the links to three servers."""
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
        """Makes two servers answer incorrectly, slowly or not at all."""
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
        """Stops a server without draining and later starts a new one."""
        old = choices.choice(list(self._world.servers.values()))
        await self._world.remove_server(old)
        await asyncio.sleep(fault.for_s)
        await self._world.add_server(old.service, old.domain)

    async def drain_server(self, _: Fault, choices: random.Random) -> None:
        """Starts a replacement for a server and then drains and stops it."""
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
        """Takes a failure domain out of service, then puts it back."""
        domain = choices.choice(list(_hostprocesses.DOMAINS))
        self._world.store.put("evacuations", domain, {})
        await asyncio.sleep(fault.for_s)
        self._world.store.delete("evacuations", domain)

    async def change_configuration(
        self, fault: Fault, choices: random.Random
    ) -> None:
        """Writes several configuration versions in quick succession."""
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
    """Returns a random schedule of faults.

    A kind may occur more than once, and faults may overlap.

    Args:
      choices: The source of the random choices.
      count: How many faults are drawn.
      length_s: The period within which all faults start.
    """
    return tuple(
        Fault(
            at_s=round(choices.uniform(0.0, length_s), 2),
            for_s=round(choices.uniform(0.2, 3.0), 2),
            kind=choices.choice(list(KINDS)),
            seed=choices.randrange(1 << 30),
        )
        for _ in range(count)
    )
