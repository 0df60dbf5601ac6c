"""Choice of the hosts through which a stranded host reaches servers."""

import random
from collections.abc import Collection, Iterator

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _hosthealth
from cowslipvalve_gateway import _hostrefusals
from cowslipvalve_gateway import _resources

# Each further one that fails costs the caller time.
_MAX_HELPERS = 3
# With those that refuse, which costs a round trip.
_MAX_ASKED = 8
# A host that is stranded too is asked again after these times.
_FIRST_REFUSAL_MS = 1_000.0
_MAX_REFUSAL_MS = 8_000.0
# A busy host has completed most of its requests after this time.
_BUSY_MS = 200.0
_MIN_LACKING = 3
# Between regions.
_FAR_ROUND_TRIP_MS = 80.0


class Detours:
    """Chooses helpers, and leaves out those that refused for a while."""

    def __init__(
        self,
        own: _resources.HostRecord,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        health: _hosthealth.HostHealth,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._health = health
        self._stranded = _hosthealth.create_host_health(
            clock, _FIRST_REFUSAL_MS, _MAX_REFUSAL_MS
        )
        self._busy = _hosthealth.create_host_health(clock, _BUSY_MS, _BUSY_MS)

    def find_helpers(
        self, route: _resources.Route, excluded: Collection[str] = ()
    ) -> Iterator[_resources.HostRecord]:
        """Yields the hosts to ask one after the other, none if there are none.

        A host whose refusal is recorded before the next one is asked for takes
        no other's place, as many hosts may be stranded together. Near hosts
        come first. Each is of another domain than those before it
        and those asked already if possible, as a whole domain may be stranded.

        Args:
          route: The route of a request. Its body is sent only to hosts in the
            route's regions.
          excluded: The names of hosts that were asked already.
        """
        candidates = [
            host
            for host in self._catalog.hosts.values()
            if host.name not in excluded and self._may_help(host, route)
        ]
        random.shuffle(candidates)
        candidates.sort(key=self._rank)
        hosts = self._catalog.hosts
        domains = {hosts[name].domain for name in excluded if name in hosts}
        asked = taken = 0
        while candidates and taken < _MAX_HELPERS and asked < _MAX_ASKED:
            best = next(
                (host for host in candidates if host.domain not in domains),
                candidates[0],
            )
            candidates.remove(best)
            domains.add(best.domain)
            yield best
            asked += 1
            taken += not self.is_refusing(best.name)

    def is_refusing(self, host: str) -> bool:
        """Whether a host has recently refused to ask servers."""
        return self._stranded.is_suspect(host) or self._busy.is_suspect(host)

    def find_round_trip_ms(self, host: _resources.HostRecord) -> float:
        """Returns the greatest usual round trip to a host, 0 if it is near."""
        is_near = host.domain == self._own.domain
        return 0.0 if is_near else _FAR_ROUND_TRIP_MS

    def record_refusal(
        self, host: str, reason: _hostrefusals.HostRefusalReason
    ) -> None:
        """Records that a host refused, having sent nothing."""
        if reason is _hostrefusals.HostRefusalReason.BUSY:
            self._busy.record_failure(host)
        else:
            self._stranded.record_failure(host)

    def record_lacking(self, host: str, count: int) -> None:
        """Records how many services a host did not reach of those asked for.

        Few of them may have no servers; with more, the host is probably cut
        off itself.
        """
        if count >= _MIN_LACKING:
            self._stranded.record_failure(host)
        else:
            self.record_success(host)

    def record_success(self, host: str) -> None:
        """Records that a host asked servers."""
        self._stranded.record_success(host)
        self._busy.record_success(host)

    def _may_help(
        self, host: _resources.HostRecord, route: _resources.Route
    ) -> bool:
        if host.name == self._own.name or not host.state_address:
            return False
        if self._health.is_suspect(host.name) or self.is_refusing(host.name):
            return False
        if not route.allowed_regions:
            return True
        return self._catalog.region(host.domain) in route.allowed_regions

    def _rank(self, host: _resources.HostRecord) -> int:
        """Returns 0 for the own domain, 1 for the own region, 2 for others."""
        if host.domain == self._own.domain:
            return 0
        own_region = self._catalog.region(self._own.domain)
        return 1 if self._catalog.region(host.domain) == own_region else 2


def create_detours(
    own: _resources.HostRecord,
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    health: _hosthealth.HostHealth,
) -> Detours:
    """Creates the detours of a host.

    Args:
      own: The record of this host.
      catalog: The hosts of the deployment and the regions of the domains.
      clock: The clock of the process.
      health: Which other hosts have failed recently.
    """
    return Detours(own, catalog, clock, health)
