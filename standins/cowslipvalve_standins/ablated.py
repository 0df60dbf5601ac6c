"""Runs the daemon with one of its mechanisms disabled.

python -m cowslipvalve_standins.ablated NAME SETTINGS serves to show that a test
fails without the mechanism. Only tests use it; the daemon itself has no such
option.
"""

import sys
from collections.abc import Callable
from typing import Any

import attrs

import cowslipvalve_backend._client as backend_client
import cowslipvalve_daemon._configurations as daemon_configurations
import cowslipvalve_daemon._daemon as daemon_daemon
import cowslipvalve_daemon._heartbeats as daemon_heartbeats
import cowslipvalve_daemon._homes as daemon_homes
import cowslipvalve_daemon._memberships as daemon_memberships
import cowslipvalve_daemon._orderdispatchers as daemon_dispatchers
import cowslipvalve_daemon._orders as daemon_orders
import cowslipvalve_daemon._quarantines as daemon_quarantines
import cowslipvalve_daemon._replicas as daemon_replicas
import cowslipvalve_daemon._searchruns as daemon_searchruns
import cowslipvalve_daemon._serverworkers as daemon_serverworkers
import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_store as store
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _main

_HOSTS_PER_SERVER = 2  # Each of these hosts may use one of the two slots.


def _always_return(value: Any) -> Callable[..., Any]:
    return lambda *_arguments, **_keywords: value


def _skip_lease() -> None:
    keeper: Any = peers.LeaseKeeper
    keeper.may_serve = lambda self, _server: self.state is model.HostState.LIVE
    keeper.detect_pause = _always_return(None)


def _skip_warm_up() -> None:
    gate: Any = policy.WarmUpGate
    gate.is_warm = property(_always_return(True))


def _skip_echo_check() -> None:
    client: Any = backend_client
    client._matches_query = _always_return(True)


def _skip_pinning() -> None:
    run: Any = daemon_searchruns.SearchRun
    old_send = run._send
    numbers = {"next": 0}

    async def send(self: Any, home: str, *arguments: Any) -> None:
        # Each request to a home uses another of the known snapshots.
        views = self._context.directory.views(self._search_name)
        numbers["next"] += 1
        self._view = views[numbers["next"] % len(views)]
        await old_send(self, home, *arguments)

    run._send = send


def _skip_placement_announcement() -> None:
    holder: Any = daemon_configurations.ConfigurationHolder
    holder.announce_placement = _always_return(None)


def _skip_configuration_fetch() -> None:
    service: Any = daemon_heartbeats.HeartbeatService
    service.fetch_if_newer = _always_return(None)


def _fetch_any_configuration() -> None:
    """Fetches the configuration of any peer whose number is different."""
    service: Any = daemon_heartbeats.HeartbeatService

    async def fetch(self: Any, host: str) -> None:
        record = self._memberships.find_host_record(host)
        url = f"http://{record.address}/peer/configuration"
        async with self._session.get(url) as response:
            text = await response.read()
        delta = model.decode(model.ConfigurationDelta, text)
        self._configurations.install(delta)

    def fetch_if_newer(self: Any, host: str, number: int) -> None:
        if number != self._configurations.current.number:
            self.add_future(fetch(self, host))

    service.fetch_if_newer = fetch_if_newer


def _skip_claims() -> None:
    claim_store: Any = store.ClaimStore

    async def take(
        self: Any, search: str, key: str, attempt_id: str
    ) -> store.Claim:
        item = store.create_object("OrderClaim", "x", {"attemptId": ""})
        return store.Claim(
            True, item, model.Outcome.UNKNOWN, model.Reason.NONE, None
        )

    claim_store.take = take


def _skip_tickets() -> None:
    orders: Any = daemon_orders.Orders

    async def run(self: Any, order: Any) -> Any:
        reply = await self._dispatcher.run(order, "")
        return daemon_orders._create_answer(order, reply)

    orders.run_with_ticket = run


def _retry_unknown_orders() -> None:
    dispatcher: Any = daemon_dispatchers.OrderDispatcher
    old_send = dispatcher._send

    async def send(self: Any, *arguments: Any) -> model.HomeOrderReply:
        reply: model.HomeOrderReply = await old_send(self, *arguments)
        if reply.outcome is model.Outcome.UNKNOWN:
            return model.HomeOrderReply(model.Outcome.NOT_RUN, reply.reason)
        return reply

    dispatcher._send = send


def _skip_quarantine() -> None:
    run: Any = daemon_searchruns.SearchRun
    run._needs_canary = _always_return(False)
    quarantine: Any = daemon_quarantines.Quarantine
    quarantine.record_connection_loss = _always_return(False)
    worker: Any = daemon_serverworkers.ServerWorker
    worker._handle_crash = lambda self, _batch, error: self._handle_failure(
        error
    )


def _skip_drain() -> None:
    daemon: Any = daemon_daemon.Daemon

    async def drain(self: Any) -> None:
        return

    daemon.drain = drain


def _skip_draining_servers() -> None:
    worker: Any = daemon_serverworkers.ServerWorker
    worker._handle_refusal = _always_return(None)
    worker._accepts_work = _always_return(True)
    worker._condition = _always_return(model.ServerCondition.SERVING)
    holder: Any = daemon_configurations.ConfigurationHolder
    holder.is_server_out = _always_return(False)


def _skip_number_check() -> None:
    holder: Any = daemon_configurations.ConfigurationHolder
    old_install = holder.install

    def install(self: Any, delta: model.ConfigurationDelta) -> bool:
        # Resets the number, so that an older configuration is installed too.
        self.current = model.Configuration(number=-1)
        return bool(old_install(self, delta))

    holder.install = install
    _fetch_any_configuration()


def _skip_hedges() -> None:
    run: Any = daemon_searchruns.SearchRun

    async def hedge(self: Any) -> None:
        return

    run._hedge = hedge


def _send_without_homes(count_slots: Callable[[Any, str], int]) -> None:
    """Makes each host send to the servers directly, without homes.

    Args:
      count_slots: Returns how many slots of a server a host may use.
    """
    _skip_lease()
    memberships: Any = daemon_memberships.Memberships
    memberships.is_preferred_home = (
        lambda self, name: count_slots(self, name) > 0
    )
    homes: Any = daemon_homes.HomeService
    homes._is_wanted = lambda self, server: self._memberships.is_preferred_home(
        server.metadata.name
    )
    directory: Any = daemon_replicas.ReplicaDirectory
    directory._is_usable = lambda self, record: True
    old_choose = directory.choose

    def choose(self: Any, servers: Any, excluded: Any) -> Any:
        own = [name for name in servers if count_slots(self.memberships, name)]
        replica = old_choose(self, own, excluded)
        if replica is None:
            return None
        return attrs.evolve(replica, home=self.memberships.host)

    directory.choose = choose
    old_create = daemon_replicas.create_replica_directory
    module: Any = daemon_replicas

    def create(settings: Any, table: Any, *arguments: Any) -> Any:
        created: Any = old_create(settings, table, *arguments)
        created.memberships = _HostView(settings.host, table)
        return created

    module.create_replica_directory = create


class _HostView:
    """The attributes of Memberships that policies without homes use."""

    def __init__(self, host: str, table: peers.RecordTable) -> None:
        self.host = host
        self._table = table


def _use_whole_limits() -> None:
    _send_without_homes(lambda _view, _name: 1_000)


def _use_one_slot(configuration: model.Configuration) -> model.Configuration:
    servers = {
        name: attrs.evolve(item, spec=attrs.evolve(item.spec, slots=1))
        for name, item in configuration.servers.items()
    }
    return attrs.evolve(configuration, servers=servers)


def _use_divided_limits() -> None:
    holder: Any = daemon_configurations.ConfigurationHolder
    old_install = holder.install

    def install(self: Any, delta: model.ConfigurationDelta) -> bool:
        installed = bool(old_install(self, delta))
        self.current = _use_one_slot(self.current)
        return installed

    holder.install = install

    def count_slots(view: Any, name: str) -> int:
        hosts = sorted(
            entry.host.host
            for entry in view._table.entries("host")
            if entry.host is not None
        )
        ranked = policy.rank_names(hosts, name)
        return int(view.host in ranked[:_HOSTS_PER_SERVER])

    _send_without_homes(count_slots)


ABLATIONS: dict[str, Callable[[], None]] = {
    "lease": _skip_lease,
    "warm-up": _skip_warm_up,
    "echo": _skip_echo_check,
    "pinning": _skip_pinning,
    "urgent-placement": _skip_placement_announcement,
    "spread": _skip_configuration_fetch,
    "claims": _skip_claims,
    "tickets": _skip_tickets,
    "order-retry": _retry_unknown_orders,
    "quarantine": _skip_quarantine,
    "drain": _skip_drain,
    "draining-servers": _skip_draining_servers,
    "number-check": _skip_number_check,
    "hedges": _skip_hedges,
    "whole-limits": _use_whole_limits,
    "divided-limits": _use_divided_limits,
}


def main() -> None:
    """Applies the ablation that the first argument names; runs the daemon."""
    ABLATIONS[sys.argv.pop(1)]()
    _main.main()


if __name__ == "__main__":
    main()
