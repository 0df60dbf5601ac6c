"""Injects random faults into real hosts and checks their guarantees.

Usage: python -m cowslipvalve_standins.soak [--seed N] [--seeds COUNT]
"""

import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile

import aiohttp
import attrs
import cyclopts

from cowslipvalve_standins import _soakcallers
from cowslipvalve_standins import _soakchecks
from cowslipvalve_standins import _soakfaults
from cowslipvalve_standins import _soakworld

_FAULTS = 14
_FAULTS_S = 8.0
_SETTLE_S = 5.0  # The users' bounds apply to hosts that had no fault for 5 s.
_APPLY_S = 3.0  # The users' strictest bound on the time that a change may take.
_CALM_S = 2.0
_TIMEOUT_MS = 1_500
_LAST_ROUTE = "last"
_HTTP_OK = 200
_SHOWN = 5

app = cyclopts.App(
    name="soak",
    help="Plays random faults against real hosts.",
    result_action="return_value",
)


@attrs.frozen(kw_only=True)
class SoakResult:
    """The result of the soak test of one seed."""

    # The faults that were injected.
    faults: tuple[_soakfaults.Fault, ...]
    # The number of calls that callers made.
    calls: int
    # The number of calls that were answered with status 200.
    served: int
    # A message for each guarantee that was violated, empty if none was.
    broken: tuple[str, ...]


async def run_seed(seed: int, folder: pathlib.Path) -> SoakResult:
    """Runs the soak test of one seed; hosts write their logs to the folder."""
    choices = random.Random(seed)
    faults = _soakfaults.draw_faults(choices, _FAULTS, _FAULTS_S)
    world = _soakworld.SoakWorld(folder)
    callers = _soakcallers.Callers(world, choices)
    stop = asyncio.Event()
    try:
        await world.start()
        load = asyncio.ensure_future(callers.run(stop))
        injector = _soakfaults.Injector(world)
        await injector.run(faults)
        broken = injector.unexpected
        if not broken:  # A host that has ended would never become ready.
            broken += await _check_calm(world, callers)
        stop.set()
        await load
        broken += _soakchecks.check_calls(world, callers.calls)
        broken += _soakchecks.check_servers(world)
    finally:
        await world.stop()
    return SoakResult(
        faults=faults,
        calls=len(callers.calls),
        served=sum(call.status == _HTTP_OK for call in callers.calls),
        broken=tuple(broken),
    )


async def _check_calm(
    world: _soakworld.SoakWorld, callers: _soakcallers.Callers
) -> list[str]:
    """Checks the deployment once the faults have ended.

    All hosts must become ready, serve, apply a change of the configuration in
    time, and one of them must stop with status 0 on SIGTERM.
    """
    broken: list[str] = []
    for server in list(world.servers.values()):
        server.sequence += 1
        world.register(server)
    async with aiohttp.ClientSession() as session:
        for host in world.hosts:
            await host.wait_until_ready(session)
        await asyncio.sleep(_SETTLE_S)
        from_ms = _soakcallers.now_ms()
        world.configure(_LAST_ROUTE, timeout_ms=_TIMEOUT_MS)
        await asyncio.sleep(_APPLY_S)
        for host in world.hosts:
            call = await callers.call(session, _LAST_ROUTE, host.name)
            if call.status != _HTTP_OK:
                broken.append(
                    f"{host.name} answers {call.status} on a route that is "
                    "due everywhere"
                )
    leaving = world.hosts[0]
    leaving.send_signal(signal.SIGTERM)
    status = await leaving.wait()
    if status:
        broken.append(f"{leaving.name} ended with {status} in calm")
    await asyncio.sleep(_CALM_S)
    broken += _soakchecks.check_calm(callers.calls, from_ms, leaving.name)
    broken += _soakchecks.check_lateness(callers.calls, from_ms, _TIMEOUT_MS)
    return broken


def _report(seed: int, result: SoakResult, folder: pathlib.Path) -> None:
    print(
        f"seed={seed} calls={result.calls} served={result.served} "
        f"broken={len(result.broken)}",
        flush=True,
    )
    if not result.broken:
        return
    for fault in sorted(result.faults, key=lambda f: f.at_s):
        print(f"  fault {fault}")
    for reason in result.broken[:_SHOWN]:
        print(f"  broken: {reason}")
    print(f"  logs: {folder}")


@app.default
def play(*, seed: int = 0, seeds: int = 1) -> int:
    """Tests consecutive seeds; the exit status is 1 if a seed fails.

    Args:
      seed: The first seed; 0 draws a random one.
      seeds: The number of seeds to test.
    """
    first = seed or random.SystemRandom().randrange(1, 1 << 30)
    is_broken = False
    for number in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="cowslipvalve-soak-"))
        result = asyncio.run(run_seed(number, folder))
        _report(number, result, folder)
        is_broken |= bool(result.broken)
        if not result.broken:
            shutil.rmtree(folder, ignore_errors=True)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(app())
