"""The dependencies and state that all calls of a host share."""

from collections.abc import Collection

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _budgets
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _crashwatches
from cowslipvalve_gateway import _detours
from cowslipvalve_gateway import _groupclients
from cowslipvalve_gateway import _hosthealth
from cowslipvalve_gateway import _limiters
from cowslipvalve_gateway import _limitreaders
from cowslipvalve_gateway import _measurements
from cowslipvalve_gateway import _relayclients
from cowslipvalve_gateway import _selectors
from cowslipvalve_gateway import _serverclients
from cowslipvalve_gateway import _serverlinks
from cowslipvalve_gateway import _shardwaits


@attrs.define(kw_only=True)
class CallContext:
    """Dependencies and state that all service calls share."""

    # The state that this host serves by.
    catalog: _catalogs.Catalog
    # Keeps requests within the limits that servers state.
    limiter: _limiters.Limiter
    # Reads the limits that servers stated before this host started.
    limit_reader: _limitreaders.LimitReader
    # Chooses servers.
    selector: _selectors.ServerSelector
    # Sends requests.
    client: _serverclients.ServerClient
    # The bounds on extra attempts.
    bounds: _budgets.BudgetBounds
    # Counters and latency samples.
    measurements: _measurements.Measurements
    # The clock of the process.
    clock: base.Clock
    # The name of this host.
    own_name: str
    # Sends group requests to other hosts.
    groups: _groupclients.GroupClient
    # Sends requests to other hosts, which relay them to servers.
    relays: _relayclients.RelayClient
    # Which other hosts have failed recently.
    host_health: _hosthealth.HostHealth
    # Which shards other hosts may not ask for now.
    shard_waits: _shardwaits.ShardWaits
    # Notices requests under which servers end.
    crashes: _crashwatches.CrashWatch
    # Which servers this host cannot reach.
    links: _serverlinks.ServerLinks
    # The hosts through which this host reaches the servers that it cannot.
    detours: _detours.Detours
    # The budgets by service, created on first use.
    _by_service: dict[str, _budgets.AttemptBudget] = attrs.field(
        factory=dict, alias="by_service"
    )

    def set_bounds(self, bounds: _budgets.BudgetBounds) -> None:
        """Replaces the bounds on extra attempts."""
        self.bounds = bounds
        for budget in self._by_service.values():
            budget.bounds = bounds

    def retain_services(self, names: Collection[str]) -> None:
        """Discards the idle budgets of all but the named services."""
        self._by_service = {
            name: budget
            for name, budget in self._by_service.items()
            if name in names or not budget.is_idle
        }

    def find_slack_share(self, service: str) -> float:
        """Returns this host's share, 0 to 1, of the slack of a budget.

        It is 0 for some time after the start of this host.
        """
        # Other hosts learn of a change, and of a host's end, only after a time.
        hold_ms = self.bounds.held_ms + _catalogs.HOSTS_SETTLED_MS
        return self.catalog.slack_shares.find(service, hold_ms)

    def try_take_extra(
        self, service: str, is_hedge: bool
    ) -> _budgets.ExtraAttempt | None:
        """Takes an extra attempt from a budget if it allows one."""
        budget = self.budget(service)
        share = self.find_slack_share(service)
        denial = budget.find_denial(share, is_hedge)
        if denial is None:
            return budget.take()
        self.measurements.count("refused_extra_attempts", denial.value)
        return None

    def describe_budget(self, service: str) -> dict[str, object]:
        """Returns the fields of log lines that depend on a budget."""
        share = self.find_slack_share(service)
        remaining = self.budget(service).compute_remaining(share)
        return {
            "budget": f"{remaining:.1f}",
            "slack_share": f"{share:.4f}",
            "has_slack": share > 0.0,
        }

    def budget(self, service: str) -> _budgets.AttemptBudget:
        """Returns the budget of a service, created on first use."""
        if service not in self._by_service:
            self._by_service[service] = _budgets.create_attempt_budget(
                self.clock, self.bounds
            )
        return self._by_service[service]
