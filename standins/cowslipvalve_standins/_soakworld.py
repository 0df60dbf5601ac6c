"""The deployment that the soak harms: a store, servers, links and hosts."""

import asyncio
import collections
import pathlib
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _proxies
from cowslipvalve_standins import _wiredeployments
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

SHARDS = 4
LEAST_SHARE = 0.5
TOP = 5
SINGLE = "orders"
_REPLICAS = 2
_SINGLE_SERVERS = 3
_RECORDS = 8
_HOSTS_PER_DOMAIN = 2
_TIMEOUT_MS = 1_500
_START_S = 0.1


@attrs.define(kw_only=True, eq=False)
class SoakServer:
    """One server and the link that leads to it."""

    # The service that it belongs to.
    service: str
    # Its failure domain.
    domain: str
    # The server.
    server: _wireserver.WireServer
    # The link, whose address the server registers.
    link: _proxies.Proxy
    # The number of its last heartbeat.
    sequence: int = 1


class SoakWorld:
    """Starts everything, and keeps every server that ever was.

    Attributes:
      servers: The servers of the moment by their instance id.
      all_servers: These and all that ended.
      hosts: The host processes.
      host_links: The link of callers to each host.
      store_links: The link of each host to the store.
      routes: The paths that some version of the configuration names.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._runner: web.AppRunner | None = None
        self._version = 0
        self._next_server = 0
        self.store = _wirestore.create_wire_store()
        self.servers: dict[str, SoakServer] = {}
        self.all_servers: dict[str, SoakServer] = {}
        self.hosts: list[_hostprocesses.HostProcess] = []
        self.host_links: dict[str, _proxies.Proxy] = {}
        self.store_links: dict[str, _proxies.Proxy] = {}
        self.routes: dict[str, dict[str, Any]] = {}

    @property
    def shards(self) -> list[str]:
        """Returns the services of the fan-out route."""
        return [f"shard-{number}" for number in range(SHARDS)]

    async def start(self) -> None:
        """Starts the store, all servers and all hosts."""
        store_address = await self._start_store()
        domains = list(_hostprocesses.DOMAINS)
        for service in self.shards:
            for domain in domains[:_REPLICAS]:
                await self.add_server(service, domain)
        for domain in domains[:_SINGLE_SERVERS]:
            await self.add_server(SINGLE, domain)
        self.configure()
        for domain in domains:
            for number in range(_HOSTS_PER_DOMAIN):
                await self._add_host(
                    f"{domain}-{number}", domain, store_address
                )
        async with aiohttp.ClientSession() as session:
            for host in self.hosts:
                await host.wait_until_ready(session)

    async def stop(self) -> None:
        """Ends all that this world started."""
        for host in self.hosts:
            await host.kill()
        for server in self.servers.values():
            await server.server.stop()
        links = [s.link for s in self.all_servers.values()]
        for link in (*links, *self.host_links.values()):
            await link.stop()
        for link in self.store_links.values():
            await link.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def configure(self, *names: str, timeout_ms: int = _TIMEOUT_MS) -> None:
        """Writes the next version, with a route for each further name."""
        self._version += 3
        fan_out = {"fanout-services": self.shards, "top-k": TOP}
        fan_out |= {"min-part-share": LEAST_SHARE}
        single: dict[str, Any] = {"service": SINGLE}
        write = {**single, "route-type": "non_idempotent"}
        routes = {"all": fan_out, "read": single, "write": write}
        routes |= dict.fromkeys(names, single)
        documents = [
            _wiredeployments.create_route(
                name, f"/{name}/", **{**fields, "timeout-ms": timeout_ms}
            )
            for name, fields in routes.items()
        ]
        self.routes |= routes
        config = _wiredeployments.create_config(self._version, documents)
        self.store.put("config", "main", config)

    async def add_server(self, service: str, domain: str) -> SoakServer:
        """Starts a server with records of its own shard and registers it."""
        self._next_server += 1
        shard = int(service.rpartition("-")[2]) if service != SINGLE else 9
        records = tuple(
            _wiredeployments.create_record(1_000 * shard + k)
            for k in range(_RECORDS)
        )
        server = _wireserver.create_wire_server(
            f"i-{self._next_server}", records
        )
        await server.start()
        link = await _proxies.start_proxy(server.address)
        added = SoakServer(
            service=service, domain=domain, server=server, link=link
        )
        self.servers[server.instance_id] = added
        self.all_servers[server.instance_id] = added
        self.register(added)
        return added

    def register(self, server: SoakServer, state: str = "ready") -> None:
        """Writes what a server says of itself."""
        entry = _wiredeployments.create_registration(
            server.server,
            server.service,
            address=server.link.address,
            zone=server.domain,
            state=state,
            sequence=server.sequence,
        )
        self.store.put("servers", server.server.instance_id, entry)

    async def remove_server(self, server: SoakServer) -> None:
        """Ends a server without a word; its entry lapses at once."""
        self.servers.pop(server.server.instance_id)
        await server.server.stop()
        server.link.reset()
        self.store.delete("servers", server.server.instance_id)

    def count_runs(self) -> collections.Counter[str]:
        """Returns how often servers have run each request."""
        return collections.Counter(
            request.headers["request-id"]
            for server in self.all_servers.values()
            for request in server.server.seen
        )

    async def _start_store(self) -> str:
        self._runner = web.AppRunner(
            self.store.create_app(), access_log=None, shutdown_timeout=_START_S
        )
        await self._runner.setup()
        port = _deployments.choose_ports(1)[0]
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"

    async def _add_host(
        self, name: str, domain: str, store_address: str
    ) -> None:
        link = await _proxies.start_proxy(store_address)
        host = _hostprocesses.create_host_process(
            name, domain, self._folder, link.address
        )
        host.seeds = tuple(h.state_address for h in self.hosts[:3])
        self.hosts.append(host)
        self.store_links[name] = link
        self.host_links[name] = await _proxies.start_proxy(host.caller_address)
        await host.start()
        await asyncio.sleep(_START_S)
