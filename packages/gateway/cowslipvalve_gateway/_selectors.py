"""Selection of the server of a service for each attempt."""

import math
import random
from collections.abc import Collection

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _latencies
from cowslipvalve_gateway import _limiters
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers

# Expected latency before the first answers: the connect time plus some work, or
# a remote round trip if no connection was opened yet.
_DEFAULT_WORK_MS = 10.0
_DEFAULT_LATENCY_MS = 30.0
_MEDIAN_PERCENTILE = 50
_LATE_PERCENTILE = 97
_SILENCE_FAILURE_FACTOR = 2.0  # Silence beyond usual pauses is a failure.
# Half of a usual pause is left when silence is detected.
_SILENT_PENALTY_MS = 60.0
_COLD_PENALTY_MS = 20.0
# An ejected server is chosen only if all others are ejected too.
_EJECTED_PENALTY_MS = 10_000.0
_FULL_POOL_PENALTY_MS = 200.0
_MAX_JITTER_MS = 1.0


class ServerSelector:
    """Chooses servers by expected latency, based on earlier answers."""

    def __init__(
        self,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        limiter: _limiters.Limiter,
    ) -> None:
        self._catalog = catalog
        self._limiter = limiter
        self._clock = clock
        self._latencies: dict[tuple[str, str], _latencies.RecentLatencies] = {}

    def retain_routes(self, names: Collection[str]) -> None:
        """Discards the latencies of all but the named routes."""
        self._latencies = {
            key: latencies
            for key, latencies in self._latencies.items()
            if key[0] in names
        }

    def find_usable(
        self, route: _resources.Route, service: str
    ) -> list[_servers.ServerView]:
        """Returns the servers of a service that a route may use."""
        return [
            view
            for view in self._catalog.servers_of(service)
            if self._is_usable(view, route) and not view.withdrawal.is_in_force
        ]

    def find_pause_ms(self, route: _resources.Route, service: str) -> float:
        """Returns when the first server takes requests again, 0 if one does.

        Also 0 if no server of the service will.
        """
        return min(
            (
                view.withdrawal.pause_ms
                for view in self._catalog.servers_of(service)
                if self._is_usable(view, route)
                and not view.withdrawal.is_leaving
            ),
            default=0.0,
        )

    def is_unresponsive(self, route: _resources.Route, service: str) -> bool:
        """Whether all usable servers are ejected or not reached."""
        return all(
            view.is_ejected or view.link.is_unreached
            for view in self.find_usable(route, service)
        )

    def choose(
        self,
        route: _resources.Route,
        service: str,
        excluded: Collection[_servers.ServerView],
        is_hedge: bool = False,
        may_ask_permit: bool = False,
    ) -> _servers.ServerView | None:
        """Returns the usable server with the least expected latency, if any.

        A server that has had its share of requests for now, because it is cold
        or states a limit, is left out. If all others are, too, and a permit of
        another host may be asked for, one is chosen that needs a permit.
        """
        cold_rate = self._catalog.cold_rate(service)
        views = [
            view
            for view in _keep_reached(route, self.find_usable(route, service))
            if view not in excluded and view.may_send(cold_rate)
        ]
        found = [v for v in views if self._limiter.has_token(v, is_hedge)]
        if not found and may_ask_permit:
            found = [v for v in views if self._limiter.has_lender(v)]
        return min(
            found,
            key=lambda view: self._compute_cost_ms(view, route),
            default=None,
        )

    def has_paced(
        self,
        route: _resources.Route,
        service: str,
        excluded: Collection[_servers.ServerView],
    ) -> bool:
        """Whether a cold server may be chosen later, as it warms up."""
        cold_rate = self._catalog.cold_rate(service)
        return any(
            not view.may_send(cold_rate)
            for view in self.find_usable(route, service)
            if view not in excluded
        )

    def latencies(
        self, route: _resources.Route, view: _servers.ServerView
    ) -> _latencies.RecentLatencies:
        """Returns the latencies of a route in a server's failure domain."""
        key = (route.name, view.server.domain)
        if key not in self._latencies:
            connect_ms = self._find_connect_ms(view.server.domain)
            default_ms = (
                connect_ms + _DEFAULT_WORK_MS
                if math.isfinite(connect_ms)
                else _DEFAULT_LATENCY_MS
            )
            self._latencies[key] = _latencies.RecentLatencies(default_ms)
        return self._latencies[key]

    def _find_connect_ms(self, domain: str) -> float:
        """Returns the shortest connect time to any server of a domain, in ms.

        It is infinite if no connection to the domain was opened yet.
        """
        return min(
            (
                view.pool.connect_ms
                for view in self._catalog.servers
                if view.server.domain == domain
            ),
            default=math.inf,
        )

    def record_answer(
        self,
        route: _resources.Route,
        view: _servers.ServerView,
        latency_ms: float,
    ) -> None:
        """Records the latency of an answer."""
        latencies = self.latencies(route, view)
        view.record_answer(
            latency_ms, latencies.percentile_ms(_MEDIAN_PERCENTILE)
        )
        latencies.add(latency_ms)

    def record_unanswered(
        self,
        route: _resources.Route,
        view: _servers.ServerView,
        waited_ms: float,
    ) -> None:
        """Records an attempt that was cancelled without an answer."""
        latencies = self.latencies(route, view)
        late_ms = latencies.percentile_ms(_LATE_PERCENTILE)
        if waited_ms > _SILENCE_FAILURE_FACTOR * late_ms:
            view.record_failure()
        elif waited_ms > late_ms:
            view.record_answer(
                waited_ms, latencies.percentile_ms(_MEDIAN_PERCENTILE)
            )

    def _is_usable(
        self, view: _servers.ServerView, route: _resources.Route
    ) -> bool:
        server = view.server
        if server.state is not _resources.ServerState.READY:
            return False
        if view.is_misdirected or server.domain in self._catalog.domains_out:
            return False
        if not route.allowed_regions:
            return True
        return self._catalog.region(server.domain) in route.allowed_regions

    def _compute_cost_ms(
        self, view: _servers.ServerView, route: _resources.Route
    ) -> float:
        latencies = self.latencies(route, view)
        median_ms = latencies.percentile_ms(_MEDIAN_PERCENTILE)
        load = view.running / max(1, view.server.slots)
        cost_ms = median_ms * (view.slowness + load)
        if view.silent_ms() > latencies.percentile_ms(_LATE_PERCENTILE):
            cost_ms += _SILENT_PENALTY_MS
        if view.is_cold:
            cost_ms += _COLD_PENALTY_MS
        if view.is_ejected:
            cost_ms += _EJECTED_PENALTY_MS
        if view.pool.is_full:
            cost_ms += _FULL_POOL_PENALTY_MS
        return cost_ms + random.random() * _MAX_JITTER_MS


def _keep_reached(
    route: _resources.Route, views: list[_servers.ServerView]
) -> list[_servers.ServerView]:
    """Returns the servers that this host reaches, all if it reaches none."""
    return [
        view
        for view in views
        if not view.link.is_unreached
        and (view.link.takes_connections or route.is_idempotent)
    ] or views


def create_server_selector(
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    limiter: _limiters.Limiter,
) -> ServerSelector:
    """Creates the server selector of a host."""
    return ServerSelector(catalog, clock, limiter)
