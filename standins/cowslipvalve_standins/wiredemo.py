"""Demonstrates three hosts with stand-ins of the users' platform.

Usage: python -m cowslipvalve_standins.wiredemo
"""

import asyncio
import collections
import contextlib
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

import cowslipvalve_base as base
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _hostprocesses
from cowslipvalve_standins import _wiredeployments
from cowslipvalve_standins import _wireserver
from cowslipvalve_standins import _wirestore

_SHARD_COUNT = 6
_REPLICAS_PER_SHARD = 2
_REQUESTS_PER_STEP = 60
_REQUEST_INTERVAL_S = 0.02


async def _start_store(address: str) -> _wirestore.WireStore:
    store = _wirestore.create_wire_store()
    runner = web.AppRunner(store.create_app(), access_log=None)
    await runner.setup()
    ip, port = base.split_address(address)
    await web.TCPSite(runner, ip, port).start()
    return store


async def _start_servers(
    store: _wirestore.WireStore,
) -> list[_wireserver.WireServer]:
    servers = []
    domains = list(_hostprocesses.DOMAINS)
    for shard in range(_SHARD_COUNT):
        for replica in range(_REPLICAS_PER_SHARD):
            records = tuple(
                _wiredeployments.create_record(100 * shard + k)
                for k in range(10)
            )
            server = _wireserver.create_wire_server(
                f"i-{shard}-{replica}", records
            )
            await server.start()
            domain = domains[(shard + replica) % len(domains)]
            entry = _wiredeployments.create_registration(
                server, f"shard-{shard}", zone=domain
            )
            store.put("servers", server.instance_id, entry)
            servers.append(server)
    return servers


async def _send_queries(
    session: aiohttp.ClientSession,
    hosts: list[_hostprocesses.HostProcess],
    step: str,
) -> bool:
    """Sends queries to the hosts; returns whether all answers were correct."""
    expected = b"".join(
        _wiredeployments.create_record(100 * (_SHARD_COUNT - 1) + k)
        for k in (9, 8, 7)
    )
    results: collections.Counter[str] = collections.Counter()
    for number in range(_REQUESTS_PER_STEP):
        host = hosts[number % len(hosts)]
        headers = {
            "Host": _wiredeployments.HOST_NAME,
            "Request-Id": f"{step.replace(' ', '-')}-{number}",
            "Deadline-Ms": "2000",
        }
        url = f"http://{host.caller_address}/all/{number}"
        async with session.get(url, headers=headers) as response:
            body = await response.read()
            missing = response.headers.get("Missing-Parts", "-")
        is_correct = (
            response.status == web.HTTPOk.status_code and body == expected
        )
        results["right" if is_correct else "wrong"] += 1
        results[f"missing {missing}"] += 1
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    print(f"{step}: {dict(results)}")
    return not results["wrong"]


@contextlib.asynccontextmanager
async def _run_hosts(
    store_address: str, folder: pathlib.Path
) -> AsyncIterator[list[_hostprocesses.HostProcess]]:
    hosts = [
        _hostprocesses.create_host_process(
            f"front-{domain}-1", domain, folder, store_address
        )
        for domain in _hostprocesses.DOMAINS
    ]
    try:
        for host in hosts:
            await host.start()
        yield hosts
    finally:
        for host in hosts:
            await host.kill()


async def run_demo() -> bool:
    """Runs the demo; returns whether all steps succeeded."""
    store_address = f"127.0.0.1:{_deployments.choose_ports(1)[0]}"
    store = await _start_store(store_address)
    servers = await _start_servers(store)
    shards = [f"shard-{number}" for number in range(_SHARD_COUNT)]
    route = _wiredeployments.create_route(
        "all",
        "/all/",
        **{"fanout-services": shards, "top-k": 3, "min-part-share": 0.8},
    )
    store.put("config", "main", _wiredeployments.create_config(1, [route]))
    is_correct = True
    with tempfile.TemporaryDirectory() as folder:
        async with (
            aiohttp.ClientSession() as session,
            _run_hosts(store_address, pathlib.Path(folder)) as hosts,
        ):
            for host in hosts:
                await host.wait_until_ready(session)
            is_correct &= await _send_queries(session, hosts, "calm")
            servers[0].faults = _wireserver.ServerFaults(work_ms=400.0)
            is_correct &= await _send_queries(session, hosts, "a slow server")
            store.faults = _wirestore.StoreFaults(status=503)
            is_correct &= await _send_queries(session, hosts, "the store away")
            store.faults = _wirestore.StoreFaults()
            stopped_host = hosts.pop()
            stopped_host.send_signal(signal.SIGTERM)
            is_correct &= await _send_queries(session, hosts, "a host leaving")
            status = await stopped_host.wait()
            print(f"the stopped host exited with status {status}")
            is_correct &= status == 0
    return is_correct


def main() -> None:
    """Runs the demo; the exit status is 1 if a step failed."""
    sys.exit(0 if asyncio.run(run_demo()) else 1)


if __name__ == "__main__":
    main()
