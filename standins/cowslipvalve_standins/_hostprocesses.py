"""Hosts as processes of their own, on the users' wire."""

import asyncio
import contextlib
import pathlib
import signal
import sys

import aiohttp
import attrs

import cowslipvalve_base as base
from cowslipvalve_standins import _deployments

DOMAINS = {"seinajoki": "pohjanmaa", "kuopio": "savo", "rovaniemi": "lappi"}
GRACE_S = 6.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56.0
BUDGET_WINDOW_S = 10.0
_READY_S = 20.0
_POLL_S = 0.02
_HTTP_OK = 200


@attrs.define(kw_only=True, eq=False)
class HostProcess:
    """One host; it may be ended and started again."""

    # Its name.
    name: str
    # Its failure domain.
    domain: str
    # Where it keeps its settings and its log.
    folder: pathlib.Path
    # Where it reaches the store.
    store_address: str
    # Where other hosts tell their state.
    seeds: tuple[str, ...] = ()
    # Its own addresses: for callers, readiness, metrics and state.
    addresses: list[str] = attrs.field(factory=list)
    # The process while it runs.
    process: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> str:
        """Where callers connect to."""
        return self.addresses[0]

    @property
    def state_address(self) -> str:
        """Where it tells its state."""
        return self.addresses[3]

    @property
    def log_path(self) -> pathlib.Path:
        """The file with all that its processes wrote."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Starts a process."""
        settings_path = self.folder / f"{self.name}.json"
        settings_path.write_bytes(base.encode_plain(self._settings()))
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cowslipvalve_adapter",
                env={"COWSLIPVALVE_SETTINGS": str(settings_path)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process has ended; returns its status."""
        assert self.process is not None
        return await self.process.wait()

    async def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Asks the host whether it is ready."""
        url = f"http://{self.addresses[1]}/cowslipvalve/readiness"
        try:
            async with session.get(url) as response:
                return response.status == _HTTP_OK
        except aiohttp.ClientError:  # It does not listen yet.
            return False

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the host is ready.

        Raises:
          TimeoutError: It took too long.
        """
        async with asyncio.timeout(_READY_S):
            while not await self.is_ready(session):  # noqa: ASYNC110
                await asyncio.sleep(_POLL_S)

    def _settings(self) -> dict[str, object]:
        return {
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


def create_host_process(
    name: str, domain: str, folder: pathlib.Path, store_address: str
) -> HostProcess:
    """Returns a host with free ports that is not started."""
    return HostProcess(
        name=name,
        domain=domain,
        folder=folder,
        store_address=store_address,
        addresses=[f"127.0.0.1:{p}" for p in _deployments.choose_ports(4)],
    )
