"""Runs a platform, backend servers and daemons as local processes."""

import asyncio
import errno
import fcntl
import functools
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Iterable, Sequence
from typing import IO, Any

import aiohttp
import attrs
import orjson

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_standins import _servertypes

_READY_TIMEOUT_MS = 26_000
_POLL_INTERVAL_MS = 50
_STOP_TIMEOUT_S = 45.0
_LOOPBACK = "127.0.0.1"
_FIRST_PORT = 20_000
_LAST_PORT = 32_000  # The ephemeral ports of Linux begin at 32768.
# The ports that this process has reserved.
_reserved: set[int] = set()


def choose_ports(count: int) -> list[int]:
    """Returns free ports outside the ephemeral port range of Linux.

    Outgoing connections do not use these ports. No port is returned twice, to
    this process or to another one that runs now, so that deployments can
    reserve ports before their processes bind them.
    """
    candidates = list(range(_FIRST_PORT, _LAST_PORT))
    random.shuffle(candidates)
    ports: list[int] = []
    while len(ports) < count:
        port = candidates.pop()
        with socket.socket() as probe:
            if port not in _reserved and _can_bind(probe, port) and _lock(port):
                ports.append(port)
    return ports


def _lock(port: int) -> bool:
    """Reserves a port until this process ends; returns whether it was free."""
    try:
        fcntl.lockf(_open_locks(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError as error:
        if error.errno not in (errno.EACCES, errno.EAGAIN):
            raise
        return False
    _reserved.add(port)
    return True


@functools.cache
def _open_locks() -> IO[bytes]:
    """Opens the file in which each process locks a byte for each of its ports.

    Closing it would end all locks of the process.
    """
    path = pathlib.Path(tempfile.gettempdir()) / "cowslipvalve-ports.lock"
    return path.open("wb")


def _can_bind(probe: socket.socket, port: int) -> bool:
    try:
        probe.bind((_LOOPBACK, port))
    except OSError:
        return False
    return True


@attrs.frozen(kw_only=True)
class HostShape:
    """An entry host of a deployment."""

    name: str
    failure_domain: str
    # The region of the failure domain.
    region: str = ""


@attrs.frozen(kw_only=True)
class DeploymentShape:
    """The hosts, backend servers and resources of a deployment."""

    hosts: tuple[HostShape, ...]
    # Pairs of a failure domain and a backend server in this domain.
    servers: tuple[tuple[str, _servertypes.ServerShape], ...]
    # The resources to create on the platform before the hosts start.
    resources: tuple[store.StoredObject, ...]
    # Settings of all hosts; they override the generated ones.
    settings: dict[str, Any] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Host:
    """The ports and the process of a host."""

    shape: HostShape
    caller_port: int
    peer_port: int
    operations_port: int
    process: asyncio.subprocess.Process | None = None


class Deployment:
    """A deployment that runs while its asynchronous context is entered."""

    def __init__(self, shape: DeploymentShape, ablation: str = "") -> None:
        self.shape = shape
        self._ablation = ablation
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="cowslipvalve-"))
        ports = choose_ports(3 * len(shape.hosts) + 1)
        self.platform_port = ports.pop()
        self.platform_url = f"http://{_LOOPBACK}:{self.platform_port}"
        self.hosts = {
            host.name: _Host(host, ports.pop(), ports.pop(), ports.pop())
            for host in shape.hosts
        }
        self.addresses = {s.name: s.address for _, s in shape.servers}
        self._processes: list[asyncio.subprocess.Process] = []
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.client = store.create_platform_client(
            self.session, self.platform_url
        )

    async def __aenter__(self) -> "Deployment":
        try:
            await self._start_standins()
            for resource in self.shape.resources:
                await self.client.create(resource)
            for name in self.hosts:
                await self.start_host(name)
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Kills all running processes and deletes their settings and logs."""
        for host in self.hosts.values():
            if host.process is not None:
                self._processes.append(host.process)
        for process in self._processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            await process.wait()
        await self.session.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    async def start_host(self, name: str, **settings: Any) -> None:
        """Starts the daemon of a host.

        Args:
          name: The name of the host.
          **settings: Settings that override those of the deployment.
        """
        host = self.hosts[name]
        path = self.directory / f"{name}.json"
        path.write_bytes(
            orjson.dumps({**self._create_settings(host), **settings})
        )
        module, arguments = "cowslipvalve_daemon", [str(path)]
        if self._ablation:
            module = "cowslipvalve_standins.ablated"
            arguments.insert(0, self._ablation)
        host.process = await self._start_process(
            module, *arguments, log=self.log_path(name)
        )

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the path of the log file of a process."""
        return self.directory / f"{name}.log"

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a host's process."""
        process = self.hosts[name].process
        assert process is not None
        process.send_signal(number)

    async def wait_for_exit(self, name: str) -> int:
        """Waits until a host's process has ended and returns its exit status.

        Raises:
          TimeoutError: The process has not ended within 45 s.
        """
        process = self.hosts[name].process
        assert process is not None
        return await asyncio.wait_for(process.wait(), _STOP_TIMEOUT_S)

    async def kill_host(self, name: str) -> None:
        """Kills a host's process with SIGKILL and waits for its end."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_for_exit(name)

    async def wait_until_ready(
        self, names: Iterable[str] = (), search: str = ""
    ) -> None:
        """Waits until hosts are ready and can answer a search from all shards.

        Args:
          names: The hosts to wait for; all hosts if empty.
          search: The search that each host must answer with full coverage;
            not checked if empty.

        Raises:
          TimeoutError: A host has not become ready within 26 s.
        """
        deadline = asyncio.get_running_loop().time() + model.to_seconds(
            _READY_TIMEOUT_MS
        )
        for name in names or self.hosts:
            while reason := await self._explain_unready(name, search):
                if asyncio.get_running_loop().time() > deadline:
                    log = self.log_path(name).read_text()[-2_000:]
                    raise TimeoutError(
                        f"{name} is not ready: {reason}; end of its log: {log}"
                    )
                await asyncio.sleep(model.to_seconds(_POLL_INTERVAL_MS))

    async def query(
        self, host: str, search: str, text: str, **fields: Any
    ) -> tuple[int, dict[str, Any]]:
        """Sends a query to a host; returns the HTTP status and the answer."""
        body = {"query": {"text": text}, **fields}
        return await self.post(host, f"/v1/searches/{search}/query", body)

    async def post(
        self, host: str, path: str, body: Any
    ) -> tuple[int, dict[str, Any]]:
        """Posts to the caller port of a host; returns status and answer."""
        port = self.hosts[host].caller_port
        async with self.session.post(
            f"http://{_LOOPBACK}:{port}{path}", data=orjson.dumps(body)
        ) as response:
            return response.status, orjson.loads(await response.read())

    async def put_server(self, name: str, path: str, body: Any) -> None:
        """Sends a PUT request to a server, to set its faults or holdings."""
        await self._request("PUT", self.addresses[name], path, body)

    async def post_server(self, name: str, path: str) -> None:
        """Sends a POST request to a server, such as /crash or /cool."""
        try:
            await self._request("POST", self.addresses[name], path, {})
        except aiohttp.ClientError:
            # A server that crashes closes the connection without an answer.
            return

    async def server_stats(self, name: str) -> dict[str, Any]:
        """Returns the counters of a server."""
        return await self._request("GET", self.addresses[name], "/stats", None)

    async def put_platform_faults(self, **faults: Any) -> None:
        """Sets faults of the platform and leaves the others as they are."""
        await self._request(
            "PUT", f"{_LOOPBACK}:{self.platform_port}", "/faults", faults
        )

    async def read_configuration(
        self, host: str
    ) -> model.ConfigurationDelta | None:
        """Returns a host's configuration, or None if it is unreachable."""
        port = self.hosts[host].peer_port
        try:
            plain = await self._request(
                "GET", f"{_LOOPBACK}:{port}", "/peer/configuration", None
            )
        except aiohttp.ClientError:
            return None
        return model.from_plain(model.ConfigurationDelta, plain)

    async def platform_calls(self) -> dict[str, int]:
        """Returns the number of calls to the platform by method and kind."""
        return await self._request(
            "GET", f"{_LOOPBACK}:{self.platform_port}", "/calls", None
        )

    async def _request(
        self, method: str, address: str, path: str, body: Any
    ) -> dict[str, Any]:
        data = None if body is None else orjson.dumps(body)
        async with self.session.request(
            method, f"http://{address}{path}", data=data
        ) as response:
            text = await response.read()
            result: dict[str, Any] = orjson.loads(text) if text else {}
            return result

    async def _explain_unready(self, name: str, search: str) -> str:
        """Returns why a host or search is not ready; empty if both are."""
        port = self.hosts[name].operations_port
        try:
            async with self.session.get(
                f"http://{_LOOPBACK}:{port}/readyz"
            ) as response:
                if response.status != 200:  # noqa: PLR2004
                    return await response.text()
            if not search:
                return ""
            status, answer = await self.query(name, search, "ready")
        except aiohttp.ClientError as error:
            return repr(error)
        is_complete = status == 200 and not answer["coverage"]["missing"]  # noqa: PLR2004
        return "" if is_complete else f"status {status}, {answer}"

    async def _start_standins(self) -> None:
        self._processes.append(
            await self._start_process(
                "cowslipvalve_standins.platform",
                str(self.platform_port),
                log=self.log_path("platform"),
            )
        )
        for domain in sorted({name for name, _ in self.shape.servers}):
            await self._start_servers(domain)
        await self._wait_for_port(self.platform_port)
        host_list = [
            {
                "name": h.shape.name,
                "address": f"{_LOOPBACK}:{h.peer_port}",
                "state": "live",
            }
            for h in self.hosts.values()
        ]
        await self._request(
            "PUT", f"{_LOOPBACK}:{self.platform_port}", "/hosts", host_list
        )

    async def _start_servers(self, domain: str) -> None:
        """Starts one process for the servers of a failure domain."""
        shapes = [shape for name, shape in self.shape.servers if name == domain]
        path = self.directory / f"servers-{domain}.json"
        path.write_bytes(orjson.dumps([model.to_plain(s) for s in shapes]))
        self._processes.append(
            await self._start_process(
                "cowslipvalve_standins.servers",
                str(path),
                log=self.log_path(f"servers-{domain}"),
            )
        )
        port = shapes[-1].address.rpartition(":")[2]
        await self._wait_for_port(int(port))

    async def _wait_for_port(self, port: int) -> None:
        for _ in range(_READY_TIMEOUT_MS // _POLL_INTERVAL_MS):
            try:
                _, writer = await asyncio.open_connection(_LOOPBACK, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(model.to_seconds(_POLL_INTERVAL_MS))
        raise TimeoutError(f"port {port} did not accept a connection in time")

    async def _start_process(
        self, module: str, *arguments: str, log: pathlib.Path
    ) -> asyncio.subprocess.Process:
        with log.open("ab") as output:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *arguments,
                stdout=output, stderr=output,
            )  # fmt: skip

    def _create_settings(self, host: _Host) -> dict[str, Any]:
        seeds: Sequence[_Host] = list(self.hosts.values())[:3]
        return {
            "host": host.shape.name,
            "failureDomain": host.shape.failure_domain,
            "region": host.shape.region,
            "callerAddress": f"{_LOOPBACK}:{host.caller_port}",
            "peerAddress": f"{_LOOPBACK}:{host.peer_port}",
            "operationsAddress": f"{_LOOPBACK}:{host.operations_port}",
            "platformUrl": self.platform_url,
            "peers": [f"{_LOOPBACK}:{seed.peer_port}" for seed in seeds],
            **self.shape.settings,
        }
