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
from cowslipvalve_standins import _soakdeployments
from cowslipvalve_standins import _soakfaults
from cowslipvalve_standins import _wireserver

_FAULT_COUNT = 14
_FAULT_PERIOD_S = 8.0
_RECOVERY_S = 5.0  # The users' bounds apply to hosts that had no fault for 5 s.
# The users' strictest bound on the time that a change may take.
_CHANGE_WAIT_S = 3.0
_CHECK_AFTER_STOP_S = 2.0  # Calls are still checked for this period.
_ROUTE_TIMEOUT_MS = 1_500
_LIMIT_PER_S = 2.0  # A third of what one server gets of the load.
_ADDED_ROUTE = "last"
_HTTP_OK = 200
_MAX_PRINTED_VIOLATIONS = 5

app = cyclopts.App(
    name="soak",
    help="Injects random faults into real hosts.",
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
    violations: tuple[str, ...]


async def run_seed(seed: int, folder: pathlib.Path) -> SoakResult:
    """Runs the soak test of one seed; hosts write their logs to the folder."""
    rng = random.Random(seed)
    faults = _soakfaults.draw_faults(rng, _FAULT_COUNT, _FAULT_PERIOD_S)
    restore = _soakfaults.draw_restore(seed, _FAULT_PERIOD_S)
    deployment = _soakdeployments.SoakDeployment(folder)
    callers = _soakcallers.Callers(deployment, rng)
    stop = asyncio.Event()
    try:
        await deployment.start()
        load_task = asyncio.ensure_future(callers.run(stop))
        injector = _soakfaults.FaultInjector(deployment)
        await injector.run(faults, restore)
        violations = injector.unexpected_exits
        if not violations:  # A host that has exited never becomes ready.
            violations += await _check_after_faults(deployment, callers)
        stop.set()
        await load_task
        violations += _soakchecks.check_calls(deployment, callers.calls)
        violations += _soakchecks.check_servers(deployment)
    finally:
        await deployment.stop()
    return SoakResult(
        faults=(*faults, restore),
        calls=len(callers.calls),
        served=sum(call.status == _HTTP_OK for call in callers.calls),
        violations=tuple(violations),
    )


async def _check_after_faults(
    deployment: _soakdeployments.SoakDeployment, callers: _soakcallers.Callers
) -> list[str]:
    """Checks the deployment once the faults have ended.

    All hosts must become ready and apply a configuration change in time. One
    host must exit with status 0 on SIGTERM. Calls must succeed within the
    time-out of their route, except those that the stopped host does not answer.
    A server states a rate limit, which all hosts together must keep.
    """
    violations: list[str] = []
    for server in list(deployment.servers.values()):
        server.sequence += 1
        deployment.register(server)
    async with aiohttp.ClientSession() as session:
        for host in deployment.hosts:
            await host.wait_until_ready(session)
        limited = _limit_server(deployment)
        await asyncio.sleep(_RECOVERY_S)
        since_ms = _soakcallers.now_ms()
        deployment.configure(_ADDED_ROUTE, timeout_ms=_ROUTE_TIMEOUT_MS)
        await asyncio.sleep(_CHANGE_WAIT_S)
        for host in deployment.hosts:
            call = await callers.call(session, _ADDED_ROUTE, host.name)
            if call.status != _HTTP_OK:
                violations.append(
                    f"{host.name} answered {call.status} on an added route "
                    "that all hosts should serve by now"
                )
    stopped_host = deployment.hosts[0]
    stopped_ms = _soakcallers.now_ms()
    stopped_host.send_signal(signal.SIGTERM)
    status = await stopped_host.wait()
    if status:
        violations.append(
            f"{stopped_host.name} exited with status {status} after SIGTERM, "
            "after the faults had ended"
        )
    await asyncio.sleep(_CHECK_AFTER_STOP_S)
    violations += _soakchecks.check_calls_after_faults(
        callers.calls, since_ms, stopped_host.name, stopped_ms
    )
    violations += _soakchecks.check_response_times(
        callers.calls, since_ms, _ROUTE_TIMEOUT_MS
    )
    violations += _soakchecks.check_rate_limit(limited, _LIMIT_PER_S, since_ms)
    return violations


def _limit_server(
    deployment: _soakdeployments.SoakDeployment,
) -> _wireserver.WireServer:
    """Lets one server state a rate limit from now on; returns it."""
    server = next(
        server.wire_server
        for server in deployment.servers.values()
        if server.service == _soakdeployments.UNSHARDED_SERVICE
    )
    server.faults = _wireserver.ServerFaults(rate_limit=str(_LIMIT_PER_S))
    return server


def _report(seed: int, result: SoakResult, folder: pathlib.Path) -> None:
    print(
        f"seed={seed} calls={result.calls} served={result.served} "
        f"broken={len(result.violations)}",
        flush=True,
    )
    if not result.violations:
        return
    for fault in sorted(result.faults, key=lambda f: f.at_s):
        print(f"  fault {fault}")
    for reason in result.violations[:_MAX_PRINTED_VIOLATIONS]:
        print(f"  broken: {reason}")
    print(f"  logs: {folder}")


@app.default
def play(*, seed: int = 0, seeds: int = 1) -> int:
    """Tests consecutive seeds; the exit status is 1 if a seed fails.

    Args:
      seed: The first seed; 0 draws a random one.
      seeds: The number of seeds to test.
    """
    first_seed = seed or random.SystemRandom().randrange(1, 1 << 30)
    has_violations = False
    for current_seed in range(first_seed, first_seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="cowslipvalve-soak-"))
        result = asyncio.run(run_seed(current_seed, folder))
        _report(current_seed, result, folder)
        has_violations |= bool(result.violations)
        if not result.violations:
            shutil.rmtree(folder, ignore_errors=True)
    return int(has_violations)


if __name__ == "__main__":
    sys.exit(app())
