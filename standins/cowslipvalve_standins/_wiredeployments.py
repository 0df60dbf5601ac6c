"""Hosts, a store and servers in the test's process.

They use the users' wire protocols.
"""

import asyncio
import itertools
import time
import unittest
from collections.abc import Collection, Mapping, Sequence
from typing import Any

import aiohttp
import attrs
from aiohttp import web

import cowslipvalve_adapter as adapter
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _servercuts
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

HOST_NAME = "search.example"
_REQUEST_NUMBERS = itertools.count(1)
_WAIT_TIMEOUT_S = 5.0


@attrs.frozen(kw_only=True)
class CallerAnswer:
    """The answer that a caller got from a host."""

    # The HTTP status.
    status: int
    headers: Mapping[str, str]
    body: bytes
    # The time until the body was read, in ms.
    took_ms: float


@attrs.frozen(kw_only=True)
class WireHost:
    """A host of a test with several hosts, and its addresses."""

    host: adapter.Host
    # The settings that the host was started with.
    settings: adapter.Settings
    # The port by which the host reaches the store.
    store_port: int
    # The address that callers connect to.
    caller_address: str
    # The address that reports readiness.
    ready_address: str
    # The address that other hosts ask for state.
    state_address: str


def create_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of a configuration document; fields override defaults."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 1500,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 2,
        "allowed-regions": [],
    }
    return {**route, **fields}


def create_registration(
    server: _wireserver.WireServer, service: str, **fields: Any
) -> dict[str, Any]:
    """Returns the registration of a server; fields override defaults."""
    entry = {
        "service": service,
        "address": server.address,
        "zone": "kuopio",
        "config-version": "v1",
        "slots": 4,
        "state": "ready",
        "warmup-left-ms": 0,
        "sequence": 1,
        "born": 1_000,
    }
    return {**entry, **fields}


def create_config(
    version: int, routes: Sequence[dict[str, Any]], **limits: Any
) -> dict[str, Any]:
    """Returns a configuration document.

    Args:
      version: The version of the configuration.
      routes: The routes; all services that they name are included.
      **limits: Overrides of the default limits.
    """
    services: set[str] = set()
    for route in routes:
        services.update(route.get("fanout-services", ()))
        services.update(p["service"] for p in route.get("traffic-split", ()))
        services.update({route["service"]} if "service" in route else ())
    return {
        "config-version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 32,
                "protocol": "h1",
                "tls": False,
                "warmup-s": 3.0,
                "warmup-per-s": 0.0,
            }
            for name in sorted(services)
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
            **limits,
        },
    }


def create_record(value: int) -> bytes:
    """Returns a record; records sort by their value."""
    return value.to_bytes(_wireserver.RECORD_BYTES, "big")


def _create_settings(addresses: list[str], **fields: Any) -> adapter.Settings:
    """Returns the settings of a host; fields override defaults."""
    defaults = {
        "host": "front-1",
        "failure_domain": "kuopio",
        "regions": {"kuopio": "savo", "rovaniemi": "lappi"},
        "caller_address": addresses[1],
        "ready_address": addresses[2],
        "metrics_address": addresses[3],
        "state_address": addresses[4],
        "seeds": (),
        "store_address": addresses[0],
        "grace_s": 4.0,
        # Hosts that have just started get extra attempts by requests only.
        "budget": adapter.BudgetSettings(ratio=10, slack=800, window_s=10),
    }
    return adapter.Settings(**{**defaults, **fields})


class WireTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests on the wire; it starts a store.

    Tests add servers, a configuration and hosts.

    Attributes:
      store: The store.
      addresses: The address of the store, and those of the default host for
        callers, readiness, metrics and state.
      session: The session of the callers.
      cuts: Cuts hosts from servers; a test that uses it installs it first.
      version: The last configuration version that was written.
    """

    async def asyncSetUp(self) -> None:
        """Starts the store and a client session."""
        self.store = _wirestore.create_wire_store()
        runner = web.AppRunner(
            self.store.create_app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        self._runner = runner
        self.addAsyncCleanup(runner.cleanup)
        ports = _deployments.choose_ports(5)
        await web.TCPSite(runner, "127.0.0.1", ports[0]).start()
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.addAsyncCleanup(self.session.close)
        self.cuts = _servercuts.create_server_cuts()
        self.version = 0

    async def add_server(
        self, instance_id: str, service: str, **fields: Any
    ) -> _wireserver.WireServer:
        """Starts and registers a server.

        Args:
          instance_id: The id of the server.
          service: The service that the server belongs to.
          **fields: `records`, the records of the server, and overrides of the
            fields of its registration.
        """
        records = fields.pop("records", ())
        server = _wireserver.create_wire_server(instance_id, records)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.register(server, service, **fields)
        return server

    def register(
        self, server: _wireserver.WireServer, service: str, **fields: Any
    ) -> None:
        """Writes the registration of a server to the store."""
        self.cuts.add_server(server.address)
        entry = create_registration(server, service, **fields)
        self.store.put("servers", server.instance_id, entry)

    def configure(self, *routes: dict[str, Any], **limits: Any) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        config = create_config(self.version, routes, **limits)
        self.store.put("config", "main", config)

    async def start_host(self, **fields: Any) -> adapter.Host:
        """Starts the default host, with overrides of its settings."""
        return await self._start(_create_settings(self.addresses, **fields))

    async def add_host(
        self,
        name: str,
        seeds: Sequence[str] = (),
        domain: str = "kuopio",
        **fields: Any,
    ) -> WireHost:
        """Starts a further host that reaches the store by its own port.

        Args:
          name: The name of the host.
          seeds: The state addresses of other hosts.
          domain: The failure domain of the host.
          **fields: Overrides of other settings.
        """
        ports = _deployments.choose_ports(5)
        await web.TCPSite(self._runner, "127.0.0.1", ports[0]).start()
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = _create_settings(
            addresses,
            host=name,
            failure_domain=domain,
            seeds=tuple(seeds),
            **fields,
        )
        return WireHost(
            host=await self._start(settings),
            settings=settings,
            store_port=ports[0],
            caller_address=addresses[1],
            ready_address=addresses[2],
            state_address=addresses[4],
        )

    async def restart_host(self, host: WireHost) -> WireHost:
        """Ends a host without a drain and starts it again."""
        await host.host.stop()
        return attrs.evolve(host, host=await self._start(host.settings))

    async def _start(self, settings: adapter.Settings) -> adapter.Host:
        host = adapter.create_host(settings)
        with self.cuts.attribute_to(settings.host):
            await host.start()
        self.addAsyncCleanup(host.stop)
        return host

    async def wait_until_ready(self) -> None:
        """Waits until the default host reports itself ready."""
        await self.wait_for(self.is_ready)

    async def is_ready(self, host: WireHost | None = None) -> bool:
        """Returns whether a host, or else the default host, is ready."""
        address = host.ready_address if host else self.addresses[2]
        url = f"http://{address}/cowslipvalve/readiness"
        async with self.session.get(url) as response:
            return response.status == 200  # noqa: PLR2004

    async def wait_until_known(self, hosts: Collection[WireHost]) -> None:
        """Waits until hosts are ready and know each other, and no other."""
        for host in hosts:
            await self.wait_for(lambda host=host: self.is_ready(host))
        names = {host.settings.host for host in hosts}
        for host in hosts:
            await self.wait_for(lambda host=host: _knows_just(host, names))

    async def wait_for(self, condition: Any) -> None:
        """Waits until an asynchronous condition holds; fails after 5 s."""
        deadline_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not await condition():
            if time.monotonic() > deadline_s:
                self.fail("the condition was not met before the time-out")
            await asyncio.sleep(0.02)

    async def call(
        self,
        path: str,
        *,
        method: str = "GET",
        host: WireHost | None = None,
        **options: Any,
    ) -> CallerAnswer:
        """Sends a caller's request to a host, or else to the default host."""
        address = host.caller_address if host else self.addresses[1]
        headers = {
            "Host": HOST_NAME,
            "Request-Id": f"r{next(_REQUEST_NUMBERS)}",
            "Deadline-Ms": "3000",
            **options.pop("headers", {}),
        }
        started_s = time.monotonic()
        async with self.session.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            **options,
        ) as response:
            body = await response.read()
        return CallerAnswer(
            status=response.status,
            headers=response.headers,
            body=body,
            took_ms=(time.monotonic() - started_s) * 1_000,
        )


async def _knows_just(host: WireHost, names: Collection[str]) -> bool:
    context = host.host._call_context  # noqa: SLF001
    return context is not None and set(context.catalog.hosts) == names
