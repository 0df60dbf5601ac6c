"""Hosts as child processes that use the users' wire protocols."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import sys
from typing import IO

import aiohttp
import attrs

import cowslipvalve_base as base
from cowslipvalve_standins import _deployments

_ROOT = pathlib.Path(__file__).parents[2]
DOMAINS = {"seinajoki": "pohjanmaa", "kuopio": "savo", "rovaniemi": "lappi"}
GRACE_S = 6.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56.0
BUDGET_WINDOW_S = 10.0
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_HTTP_OK = 200
# Started by its path, as deploy/system.toml does it.
PROGRAM = _ROOT / "platform" / "cowslipvalve_host" / "__main__.py"
_SIGTERM_BIT = 1 << (signal.SIGTERM - 1)


@attrs.define(kw_only=True, eq=False)
class HostProcess:
    """A host that runs in a child process and can be restarted."""

    name: str
    # The failure domain of the host.
    domain: str
    # The folder of the host's settings and log.
    folder: pathlib.Path
    # The address by which the host reaches the store.
    store_address: str
    # The state addresses of other hosts.
    seeds: tuple[str, ...] = ()
    # The host's own addresses: for callers, readiness, metrics and state.
    addresses: list[str] = attrs.field(factory=list)
    # The most descriptors that a process may have open; None for this process's
    # own limit.
    max_descriptors: int | None = None
    # The last process that was started, if any.
    process: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> str:
        """The address that callers connect to."""
        return self.addresses[0]

    @property
    def state_address(self) -> str:
        """The address that other hosts ask for state."""
        return self.addresses[3]

    @property
    def log_path(self) -> pathlib.Path:
        """The file with the output of all processes of this host."""
        return self.folder / f"{self.name}.log"

    @property
    def settings_path(self) -> pathlib.Path:
        """The settings file."""
        return self.folder / f"{self.name}.json"

    def read_log(self) -> str:
        """Returns the output of all processes of this host."""
        return self.log_path.read_text()

    async def start(
        self, output: IO[bytes] | None = None, errors: IO[bytes] | None = None
    ) -> None:
        """Writes the settings and starts a process.

        Args:
          output: Where its standard output goes; None for the log.
          errors: Where its standard error goes; None for the log.
        """
        self.settings_path.write_bytes(self.encode_settings())
        await self.start_process(output, errors)

    async def start_process(
        self, output: IO[bytes] | None = None, errors: IO[bytes] | None = None
    ) -> None:
        """Starts a process, with the settings file as it is."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._list_arguments(),
                env={
                    "COWSLIPVALVE_SETTINGS": str(self.settings_path),
                    "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                },
                stdout=output or log,
                stderr=errors or log,
            )

    def _list_arguments(self) -> list[str]:
        arguments = [sys.executable, "-S", str(PROGRAM)]
        if self.max_descriptors is None:
            return arguments
        # Only the shell's own limit changes.
        script = 'ulimit -n "$0" && exec "$@"'
        return ["sh", "-c", script, str(self.max_descriptors), *arguments]

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        assert self.process is not None
        # Process.send_signal may take the exit status from those that wait.
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    @property
    def runs_own_code(self) -> bool:
        """Whether the process is past the start of the interpreter.

        Until then no program can keep a signal from ending its process. SIGHUP
        and SIGINT tell nothing: nohup and a shell's "&" ignore them for all
        children, and the interpreter handles SIGINT itself.
        """
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:  # The process has ended.
            return False
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)$", text, re.MULTILINE)
        return any(int(mask, 16) & _SIGTERM_BIT for mask in masks)

    async def wait(self) -> int:
        """Waits until the process has ended; returns its exit status."""
        assert self.process is not None
        return await self.process.wait()

    async def kill(self) -> None:
        """Kills the process if it runs, and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Returns whether the host reports itself ready."""
        url = f"http://{self.addresses[1]}/cowslipvalve/readiness"
        try:
            async with session.get(url) as response:
                return response.status == _HTTP_OK
        except aiohttp.ClientError:  # The host does not listen yet.
            return False

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the host is ready.

        Raises:
          TimeoutError: The host was not ready within 20 s.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self.is_ready(session):  # noqa: ASYNC110
                await asyncio.sleep(_POLL_INTERVAL_S)

    def encode_settings(self, **changes: object) -> bytes:
        """Returns the content of the settings file; changes override it."""
        settings = {
            "host": self.name,
            "failureDomain": self.domain,
            "regions": DOMAINS,
            "callerAddress": self.addresses[0],
            "readyAddress": self.addresses[1],
            "metricsAddress": self.addresses[2],
            "stateAddress": self.addresses[3],
            "seeds": list(self.seeds),
            "storeAddress": self.store_address,
            "graceS": GRACE_S,
            "budget": {
                "ratio": BUDGET_RATIO,
                "slack": BUDGET_SLACK,
                "windowS": BUDGET_WINDOW_S,
            },
        }
        return base.encode_plain({**settings, **changes})


def create_host_process(
    name: str, domain: str, folder: pathlib.Path, store_address: str
) -> HostProcess:
    """Returns a host on free ports; its process is not started."""
    return HostProcess(
        name=name,
        domain=domain,
        folder=folder,
        store_address=store_address,
        addresses=[f"127.0.0.1:{p}" for p in _deployments.choose_ports(4)],
    )
