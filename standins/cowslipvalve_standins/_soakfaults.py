"""Fault injection of the soak test, with schedules drawn from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _proxies
from cowslipvalve_standins import _soakdeployments
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

_DRAIN_WAIT_S = 3.5  # Longer than a change may take to reach all hosts.
_REWRITE_S = 1.0  # Servers write their heartbeats that often.
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
    _proxies.LinkFault(blocks_requests=True),
    _proxies.LinkFault(blocks_answers=True),
    _proxies.LinkFault(blocks_requests=True, blocks_answers=True),
    _proxies.LinkFault(resets_new_connections=True),
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
    # The kind, a key of INJECTORS.
    kind: str
    # The seed of the random choices in this fault.
    seed: int


class FaultInjector:
    """Injects the faults of a schedule; faults may overlap.

    Attributes:
      unexpected_exits: A message for each host process that exited without a
        fault, too late or with an unexpected status.
    """

    def __init__(self, deployment: _soakdeployments.SoakDeployment) -> None:
        self._deployment = deployment
        self._active_store_faults = 0
        # The names of hosts that a fault has stopped or paused. Other faults
        # leave these hosts alone until they run again.
        self._reserved_hosts: set[str] = set()
        self.unexpected_exits: list[str] = []

    async def run(self, faults: tuple[Fault, ...], restore: Fault) -> None:
        """Injects all faults and returns when the last fault has ended."""
        await asyncio.gather(
            *(self._inject(fault) for fault in faults),
            self._restore(restore),
        )
        for host in self._deployment.hosts:
            self._check_running(host)

    async def _restore(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await self.restore_store(fault)

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await INJECTORS[fault.kind](self, fault, random.Random(fault.seed))

    def _reserve_host(
        self, rng: random.Random
    ) -> _hostprocesses.HostProcess | None:
        available = [
            h
            for h in self._deployment.hosts
            if h.name not in self._reserved_hosts
        ]
        if len(available) <= 1:  # At least one host always runs.
            return None
        host = rng.choice(available)
        self._reserved_hosts.add(host.name)
        return host

    async def kill_host(self, fault: Fault, rng: random.Random) -> None:
        """Kills a host process and restarts it."""
        host = self._reserve_host(rng)
        if host is None:
            return
        self._check_running(host)
        await host.kill()
        await asyncio.sleep(fault.for_s / 2)
        await host.start()
        self._reserved_hosts.discard(host.name)

    async def stop_host(self, fault: Fault, rng: random.Random) -> None:
        """Stops a host process with SIGTERM and restarts it."""
        host = self._reserve_host(rng)
        if host is None:
            return
        self._check_running(host)
        for _ in range(rng.randint(1, 2)):
            host.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_hostprocesses.GRACE_S):
                status = await host.wait()
        except TimeoutError:
            self.unexpected_exits.append(
                f"{host.name} did not exit within the grace time after SIGTERM"
            )
            await host.kill()
        else:
            # SIGTERM ends a process that has not yet installed its handler.
            if status not in (0, -signal.SIGTERM):
                self.unexpected_exits.append(
                    f"{host.name} exited after SIGTERM with status {status}"
                )
        await host.start()
        self._reserved_hosts.discard(host.name)

    async def pause_host(self, fault: Fault, rng: random.Random) -> None:
        """Pauses a host process, as when its machine is suspended."""
        host = self._reserve_host(rng)
        if host is None:
            return
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        host.send_signal(signal.SIGCONT)
        self._reserved_hosts.discard(host.name)

    async def send_hangups(self, fault: Fault, rng: random.Random) -> None:
        """Sends SIGHUP several times to the hosts that run."""
        for _ in range(rng.randint(1, 4)):
            for host in self._deployment.hosts:
                if host.name in self._reserved_hosts:
                    continue
                if host.runs_own_code:
                    host.send_signal(signal.SIGHUP)
            await asyncio.sleep(fault.for_s / 4)

    async def inject_store_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Makes the store fail for all hosts."""
        fields = rng.choice(_STORE_FAULTS)
        self._active_store_faults += 1
        self._deployment.store.faults = _wirestore.StoreFaults(**fields)
        await asyncio.sleep(fault.for_s)
        self._active_store_faults -= 1
        if not self._active_store_faults:
            self._deployment.store.faults = _wirestore.StoreFaults()

    async def drop_store_history(self, _: Fault, __: random.Random) -> None:
        """Drops the store's history, so that watches must list again."""
        self._deployment.store.drop_history()

    async def restore_store(self, fault: Fault) -> None:
        """Restores the store from a copy; the others write again later."""
        store = self._deployment.store
        kept = store.copy()
        await asyncio.sleep(fault.for_s)
        truth = store.copy()
        store.restore(kept)
        await asyncio.sleep(_REWRITE_S)
        store.write_again(truth)

    async def inject_store_link_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Injects a fault into the links from two hosts to the store."""
        links = list(self._deployment.store_links.values())
        await self._inject_link_fault(rng.sample(links, 2), fault, rng)

    async def inject_host_link_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Injects a fault into the link from callers to a host."""
        links = list(self._deployment.host_links.values())
        await self._inject_link_fault([rng.choice(links)], fault, rng)

    async def inject_server_link_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Injects a fault into the links to three servers."""
        servers = list(self._deployment.servers.values())
        links = [server.link for server in rng.sample(servers, 3)]
        await self._inject_link_fault(links, fault, rng)

    async def _inject_link_fault(
        self,
        links: list[_proxies.Proxy],
        fault: Fault,
        rng: random.Random,
    ) -> None:
        if rng.random() < 1 / 4:
            for link in links:
                link.reset()
            return
        link_fault = rng.choice(_LINK_FAULTS)
        for link in links:
            link.set_fault(link_fault)
        await asyncio.sleep(fault.for_s)
        for link in links:
            link.set_fault(_proxies.LinkFault())

    async def inject_server_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Makes two servers answer incorrectly, slowly or not at all."""
        fields = rng.choice(_SERVER_FAULTS)
        servers = rng.sample(list(self._deployment.servers.values()), 2)
        for server in servers:
            server.wire_server.faults = _wireserver.ServerFaults(**fields)
        await asyncio.sleep(fault.for_s)
        for server in servers:
            server.wire_server.faults = _wireserver.ServerFaults()

    async def replace_server(self, fault: Fault, rng: random.Random) -> None:
        """Stops a server without draining and later starts a new one."""
        old = rng.choice(list(self._deployment.servers.values()))
        await self._deployment.remove_server(old)
        await asyncio.sleep(fault.for_s)
        await self._deployment.add_server(old.service, old.domain)

    async def drain_server(self, _: Fault, rng: random.Random) -> None:
        """Starts a replacement for a server and then drains and stops it."""
        old = rng.choice(list(self._deployment.servers.values()))
        await self._deployment.add_server(old.service, old.domain)
        old.sequence += 1
        self._deployment.register(old, state="draining")
        await asyncio.sleep(_DRAIN_WAIT_S)
        if old.wire_server.instance_id in self._deployment.servers:
            await self._deployment.remove_server(old)

    async def take_domain_out(self, fault: Fault, rng: random.Random) -> None:
        """Takes a failure domain out of service, then puts it back."""
        domain = rng.choice(list(_hostprocesses.DOMAINS))
        self._deployment.store.put("evacuations", domain, {})
        await asyncio.sleep(fault.for_s)
        self._deployment.store.delete("evacuations", domain)

    async def change_configuration(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Writes several configuration versions in quick succession."""
        for number in range(rng.randint(1, 5)):
            self._deployment.configure(f"extra-{fault.seed}-{number}")
            await asyncio.sleep(fault.for_s / 8)

    def _check_running(self, host: _hostprocesses.HostProcess) -> None:
        process = host.process
        if process is not None and process.returncode is not None:
            self.unexpected_exits.append(
                f"{host.name} exited without a fault, with status "
                f"{process.returncode}"
            )


INJECTORS: dict[
    str, Callable[[FaultInjector, Fault, random.Random], Awaitable[None]]
] = {
    "kill-host": FaultInjector.kill_host,
    "stop-host": FaultInjector.stop_host,
    "pause-host": FaultInjector.pause_host,
    "hang-up": FaultInjector.send_hangups,
    "harm-store": FaultInjector.inject_store_fault,
    "forget-history": FaultInjector.drop_store_history,
    "harm-store-link": FaultInjector.inject_store_link_fault,
    "harm-host-link": FaultInjector.inject_host_link_fault,
    "harm-server-link": FaultInjector.inject_server_link_fault,
    "harm-server": FaultInjector.inject_server_fault,
    "replace-server": FaultInjector.replace_server,
    "drain-server": FaultInjector.drain_server,
    "take-domain-out": FaultInjector.take_domain_out,
    "change-configuration": FaultInjector.change_configuration,
}


def draw_restore(seed: int, period_s: float) -> Fault:
    """Returns a restore of the store from a copy that is for_s old.

    It is drawn apart from the other faults, so that a seed keeps these.
    """
    rng = random.Random(f"restore-{seed}")
    return Fault(
        at_s=round(rng.uniform(0.0, period_s), 2),
        for_s=round(rng.uniform(0.5, 4.0), 2),
        kind="restore-store",
        seed=seed,
    )


def draw_faults(
    rng: random.Random, count: int, period_s: float
) -> tuple[Fault, ...]:
    """Returns a random schedule of faults.

    A kind may occur more than once, and faults may overlap.

    Args:
      rng: The source of randomness.
      count: How many faults are drawn.
      period_s: The period within which all faults start.
    """
    return tuple(
        Fault(
            at_s=round(rng.uniform(0.0, period_s), 2),
            for_s=round(rng.uniform(0.2, 3.0), 2),
            kind=rng.choice(list(INJECTORS)),
            seed=rng.randrange(1 << 30),
        )
        for _ in range(count)
    )
