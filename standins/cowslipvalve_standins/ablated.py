"""Runs the daemon with one of its mechanisms off.

python -m cowslipvalve_standins.ablated NAME SETTINGS shows that a proof fails
without the mechanism. It is for tests only; the daemon has no such switch.
"""

import sys
from collections.abc import Callable
from typing import Any

import cowslipvalve_backend._client as backend_client
import cowslipvalve_daemon._configurations as daemon_configurations
import cowslipvalve_daemon._daemon as daemon_daemon
import cowslipvalve_daemon._heartbeats as daemon_heartbeats
import cowslipvalve_daemon._orders as daemon_orders
import cowslipvalve_daemon._quarantines as daemon_quarantines
import cowslipvalve_daemon._searchruns as daemon_searchruns
import cowslipvalve_daemon._serverworkers as daemon_serverworkers
import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_platform as platform
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _main


def _return(value: Any) -> Callable[..., Any]:
    return lambda *_arguments, **_keywords: value


def _skip_lease() -> None:
    keeper: Any = peers.LeaseKeeper
    keeper.may_serve = lambda self, _server: self.state is model.HostState.LIVE
    keeper.note_turn = _return(None)


def _skip_warm_up() -> None:
    gate: Any = policy.WarmUpGate
    gate.is_warm = property(_return(True))


def _skip_echo() -> None:
    client: Any = backend_client
    client._is_echo = _return(True)


def _skip_pinning() -> None:
    run: Any = daemon_searchruns.SearchRun
    old_send = run._send
    numbers = {"next": 0}

    async def send(self: Any, home: str, *arguments: Any) -> None:
        # Each home is asked for the newest snapshot that it is known to hold.
        views = self._tools.directory.views(self._name)
        numbers["next"] += 1
        self._view = views[numbers["next"] % len(views)]
        await old_send(self, home, *arguments)

    run._send = send


def _skip_urgent_placement() -> None:
    holder: Any = daemon_configurations.ConfigurationHolder
    holder.announce_placement = _return(None)


def _skip_spread() -> None:
    service: Any = daemon_heartbeats.HeartbeatService
    service.notice_number = _return(None)


def _skip_claims() -> None:
    store: Any = platform.ClaimStore

    async def take(
        self: Any, search: str, key: str, attempt_id: str
    ) -> platform.Claim:
        item = platform.create_object("OrderClaim", "x", {"attemptId": ""})
        return platform.Claim(
            True, item, model.Outcome.UNKNOWN, model.Reason.NONE, None
        )

    store.take = take


def _skip_tickets() -> None:
    orders: Any = daemon_orders.Orders

    async def run(self: Any, order: Any) -> Any:
        reply = await self._dispatcher.run(order, "")
        return daemon_orders._create_answer(order, reply)

    orders.run_ticketed = run


def _retry_unknown_orders() -> None:
    dispatcher: Any = daemon_orders.OrderDispatcher
    old_send = dispatcher._send

    async def send(self: Any, *arguments: Any) -> model.HomeOrderReply:
        reply: model.HomeOrderReply = await old_send(self, *arguments)
        if reply.outcome is model.Outcome.UNKNOWN:
            return model.HomeOrderReply(model.Outcome.NOT_RUN, reply.reason)
        return reply

    dispatcher._send = send


def _skip_quarantine() -> None:
    run: Any = daemon_searchruns.SearchRun
    run._needs_canary = _return(False)
    quarantine: Any = daemon_quarantines.Quarantine
    quarantine.add_loss = _return(False)
    worker: Any = daemon_serverworkers.ServerWorker
    worker._note_crash = lambda self, _batch, error: self._note_failure(error)


def _skip_drain() -> None:
    daemon: Any = daemon_daemon.Daemon

    async def drain(self: Any) -> None:
        return

    daemon.drain = drain


def _skip_draining_servers() -> None:
    worker: Any = daemon_serverworkers.ServerWorker
    worker._note_refusal = _return(None)
    worker._is_open = _return(True)
    worker._condition = _return(model.ServerCondition.SERVING)
    holder: Any = daemon_configurations.ConfigurationHolder
    holder.is_server_out = _return(False)


def _skip_number_check() -> None:
    holder: Any = daemon_configurations.ConfigurationHolder
    old_install = holder.install

    def install(self: Any, delta: model.ConfigurationDelta) -> bool:
        # A peer that is behind counts as being ahead.
        self.current = model.Configuration()
        return bool(old_install(self, delta))

    holder.install = install


def _skip_hedges() -> None:
    run: Any = daemon_searchruns.SearchRun

    async def hedge(self: Any) -> None:
        return

    run._hedge = hedge


ABLATIONS: dict[str, Callable[[], None]] = {
    "lease": _skip_lease,
    "warm-up": _skip_warm_up,
    "echo": _skip_echo,
    "pinning": _skip_pinning,
    "urgent-placement": _skip_urgent_placement,
    "spread": _skip_spread,
    "claims": _skip_claims,
    "tickets": _skip_tickets,
    "order-retry": _retry_unknown_orders,
    "quarantine": _skip_quarantine,
    "drain": _skip_drain,
    "draining-servers": _skip_draining_servers,
    "number-check": _skip_number_check,
    "hedges": _skip_hedges,
}


def main() -> None:
    """Takes the name of the ablation off the arguments and runs the daemon."""
    ABLATIONS[sys.argv.pop(1)]()
    _main.main()


if __name__ == "__main__":
    main()
