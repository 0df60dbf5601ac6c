"""The deployment under test in the soak: a store, servers, links, hosts."""

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

SHARD_COUNT = 4
MIN_PART_SHARE = 0.5
TOP_K = 5
UNSHARDED_SERVICE = "orders"
_REPLICAS_PER_SHARD = 2
_UNSHARDED_SERVERS = 3
_RECORDS_PER_SERVER = 8
_HOSTS_PER_DOMAIN = 2
_ROUTE_TIMEOUT_MS = 1_500
# The delay after each host start; also the store's shutdown time-out.
_PAUSE_S = 0.1


@attrs.define(kw_only=True, eq=False)
class SoakServer:
    """A backend server and the proxy in front of it."""

    # The service that the server belongs to.
    service: str
    # The failure domain of the server.
    domain: str
    wire_server: _wireserver.WireServer
    # The proxy, whose address is registered as that of the server.
    link: _proxies.Proxy
    # The sequence number of the last registration.
    sequence: int = 1


class SoakDeployment:
    """Runs the deployment and records every server that it has started.

    Attributes:
      store: The store.
      servers: The running servers by instance id.
      all_servers: All servers by instance id, including those that ended.
      hosts: The host processes.
      host_links: The proxy between callers and each host, by host name.
      store_links: The proxy between each host and the store, by host name.
      routes: The fields of each route in any configuration version so far,
        by route name.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._runner: web.AppRunner | None = None
        self._version = 0
        self._last_server_number = 0
        self.store = _wirestore.create_wire_store()
        self.servers: dict[str, SoakServer] = {}
        self.all_servers: dict[str, SoakServer] = {}
        self.hosts: list[_hostprocesses.HostProcess] = []
        self.host_links: dict[str, _proxies.Proxy] = {}
        self.store_links: dict[str, _proxies.Proxy] = {}
        self.routes: dict[str, dict[str, Any]] = {}

    @property
    def shard_services(self) -> list[str]:
        """The services of the fan-out route, one for each shard."""
        return [f"shard-{number}" for number in range(SHARD_COUNT)]

    async def start(self) -> None:
        """Starts the store, servers and hosts and waits until all are ready."""
        store_address = await self._start_store()
        domains = list(_hostprocesses.DOMAINS)
        for service in self.shard_services:
            for domain in domains[:_REPLICAS_PER_SHARD]:
                await self.add_server(service, domain)
        for domain in domains[:_UNSHARDED_SERVERS]:
            await self.add_server(UNSHARDED_SERVICE, domain)
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
        """Stops the hosts, servers, proxies and the store."""
        for host in self.hosts:
            await host.kill()
        for server in self.servers.values():
            await server.wire_server.stop()
        links = [s.link for s in self.all_servers.values()]
        for link in (*links, *self.host_links.values()):
            await link.stop()
        for link in self.store_links.values():
            await link.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def configure(
        self, *extra_routes: str, timeout_ms: int = _ROUTE_TIMEOUT_MS
    ) -> None:
        """Writes the next configuration version.

        Args:
          *extra_routes: Further routes to the unsharded service, besides the
            standard ones.
          timeout_ms: The time-out of all routes.
        """
        self._version += 3
        fan_out = {"fanout-services": self.shard_services, "top-k": TOP_K}
        fan_out |= {"min-part-share": MIN_PART_SHARE}
        unsharded: dict[str, Any] = {"service": UNSHARDED_SERVICE}
        write = {**unsharded, "route-type": "non_idempotent"}
        routes = {"all": fan_out, "read": unsharded, "write": write}
        routes |= dict.fromkeys(extra_routes, unsharded)
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
        """Starts and registers a server that holds the records of its shard."""
        self._last_server_number += 1
        shard = (
            int(service.rpartition("-")[2])
            if service != UNSHARDED_SERVICE
            else 9
        )
        records = tuple(
            _wiredeployments.create_record(1_000 * shard + k)
            for k in range(_RECORDS_PER_SERVER)
        )
        server = _wireserver.create_wire_server(
            f"i-{self._last_server_number}", records
        )
        await server.start()
        link = await _proxies.start_proxy(server.address)
        added = SoakServer(
            service=service, domain=domain, wire_server=server, link=link
        )
        self.servers[server.instance_id] = added
        self.all_servers[server.instance_id] = added
        self.register(added)
        return added

    def register(self, server: SoakServer, state: str = "ready") -> None:
        """Writes the registration of a server to the store."""
        entry = _wiredeployments.create_registration(
            server.wire_server,
            server.service,
            address=server.link.address,
            zone=server.domain,
            state=state,
            sequence=server.sequence,
        )
        self.store.put("servers", server.wire_server.instance_id, entry)

    async def remove_server(self, server: SoakServer) -> None:
        """Stops a server without draining and deletes its registration."""
        self.servers.pop(server.wire_server.instance_id)
        await server.wire_server.stop()
        server.link.reset()
        self.store.delete("servers", server.wire_server.instance_id)

    def count_executions(self) -> collections.Counter[str]:
        """Returns how often servers have run each request, by request id."""
        return collections.Counter(
            request.headers["request-id"]
            for server in self.all_servers.values()
            for request in server.wire_server.executed_requests
        )

    async def _start_store(self) -> str:
        self._runner = web.AppRunner(
            self.store.create_app(), access_log=None, shutdown_timeout=_PAUSE_S
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
        await asyncio.sleep(_PAUSE_S)
