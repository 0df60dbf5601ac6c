"""A host, a store and servers on the users' wire, in the test's process."""

import asyncio
import itertools
import time
import unittest
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import attrs
from aiohttp import web

import cowslipvalve_adapter as adapter
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

HOST_NAME = "search.example"
_IDS = itertools.count(1)
_WAIT_S = 5.0


@attrs.frozen(kw_only=True)
class CallerAnswer:
    """What a caller got."""

    # The status.
    status: int
    # The headers.
    headers: Mapping[str, str]
    # The body.
    body: bytes
    # How long it took in ms.
    took_ms: float


def create_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of a configuration document."""
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
    """Returns what a server writes of itself into the store."""
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
    """Returns a configuration document with the services of its routes."""
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
    """Returns a record; a greater value gives a greater record."""
    return value.to_bytes(_wireserver.RECORD_BYTES, "big")


class WireTest(unittest.IsolatedAsyncioTestCase):
    """Starts a store; tests add servers, a configuration and a host."""

    async def asyncSetUp(self) -> None:
        """Starts the store."""
        self.store = _wirestore.create_wire_store()
        runner = web.AppRunner(
            self.store.create_app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        ports = _deployments.choose_ports(5)
        await web.TCPSite(runner, "127.0.0.1", ports[0]).start()
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.addAsyncCleanup(self.session.close)
        self.version = 0

    async def add_server(
        self, instance_id: str, service: str, **fields: Any
    ) -> _wireserver.WireServer:
        """Starts a server and registers it."""
        records = fields.pop("records", ())
        server = _wireserver.create_wire_server(instance_id, records)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.register(server, service, **fields)
        return server

    def register(
        self, server: _wireserver.WireServer, service: str, **fields: Any
    ) -> None:
        """Writes the registration of a server."""
        entry = create_registration(server, service, **fields)
        self.store.put("servers", server.instance_id, entry)

    def configure(self, *routes: dict[str, Any], **limits: Any) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        plain = create_config(self.version, routes, **limits)
        self.store.put("config", "main", plain)

    async def start_host(self, **fields: Any) -> adapter.Host:
        """Starts a host and waits until it is ready."""
        plain = {
            "host": "front-1",
            "failure_domain": "kuopio",
            "regions": {"kuopio": "savo", "rovaniemi": "lappi"},
            "caller_address": self.addresses[1],
            "ready_address": self.addresses[2],
            "metrics_address": self.addresses[3],
            "state_address": self.addresses[4],
            "seeds": (),
            "store_address": self.addresses[0],
            "grace_s": 4.0,
            "budget": adapter.BudgetSettings(ratio=0.2, slack=800, window_s=10),
        }
        host = adapter.create_host(adapter.Settings(**{**plain, **fields}))
        await host.start()
        self.addAsyncCleanup(host.stop)
        return host

    async def wait_until_ready(self) -> None:
        """Waits until the host reports itself ready."""
        await self.wait_for(self.is_ready)

    async def is_ready(self) -> bool:
        """Asks the host whether it is ready."""
        url = f"http://{self.addresses[2]}/cowslipvalve/readiness"
        async with self.session.get(url) as response:
            return response.status == 200  # noqa: PLR2004

    async def wait_for(self, condition: Any) -> None:
        """Waits until an asynchronous condition holds."""
        end_s = time.monotonic() + _WAIT_S
        while not await condition():
            if time.monotonic() > end_s:
                self.fail("the condition did not come to hold")
            await asyncio.sleep(0.02)

    async def call(
        self, path: str, *, method: str = "GET", **keywords: Any
    ) -> CallerAnswer:
        """Sends a caller's request."""
        headers = {
            "Host": HOST_NAME,
            "Request-Id": f"r{next(_IDS)}",
            "Deadline-Ms": "3000",
            **keywords.pop("headers", {}),
        }
        started = time.monotonic()
        async with self.session.request(
            method,
            f"http://{self.addresses[1]}{path}",
            headers=headers,
            **keywords,
        ) as response:
            body = await response.read()
        return CallerAnswer(
            status=response.status,
            headers=response.headers,
            body=body,
            took_ms=(time.monotonic() - started) * 1_000,
        )
