"""Checks that all hosts together keep the bound on extra attempts.

Usage: python -m cowslipvalve_standins.soakbudget --fault kill [--seed N]
"""

import asyncio
import pathlib
import shutil
import sys
import tempfile

import cyclopts

from cowslipvalve_standins import _budgetsoaks

app = cyclopts.App(
    name="soakbudget",
    help="Counts extra attempts while hosts and servers fail in series.",
    result_action="return_value",
)


@app.default
def play(
    *,
    fault: str = "kill",
    seed: int = 1,
    seeds: int = 1,
    duration_s: float = 60,
) -> int:
    """Runs consecutive seeds; the exit status is 1 if one exceeds the bound.

    Args:
      fault: What happens to hosts: none, slow (servers, at times), kill, pause,
        restart or replace.
      seed: The first seed.
      seeds: The number of seeds.
      duration_s: The time under load.
    """
    has_excess = False
    for current_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="cowslipvalve-budget-"))
        soak = _budgetsoaks.BudgetSoak(folder, current_seed)
        result = asyncio.run(soak.run(fault, duration_s))
        print(
            f"fault={fault} seed={current_seed} requests={result.requests} "
            f"served={result.served} extra={result.extra} "
            f"worst={result.worst.extra}/{result.worst.allowed:.0f}",
            flush=True,
        )
        if result.worst.excess > 0:
            has_excess = True
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    return int(has_excess)


if __name__ == "__main__":
    sys.exit(app())
