"""The order of the hosts that ask a server with a rate limit."""

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _limitshares
from cowslipvalve_gateway import _resources


@attrs.frozen(kw_only=True)
class RankedHosts:
    """The registered hosts that ask a server, the first holders first."""

    hosts: tuple[_resources.HostRecord, ...]
    # The place of this host in that order, len(hosts) if it is not in it.
    own_index: int
    # The places of the other hosts, those of this host's domain first. The
    # order of the rest depends on this host, which spreads the hosts' permits.
    near_first: tuple[int, ...]


class HolderRanking:
    """Ranks the hosts that ask a server; all hosts come to the same order."""

    def __init__(
        self,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        own: _resources.HostRecord,
    ) -> None:
        self._catalog = catalog
        # By server; valid for one version of the hosts and routes.
        self._ranked: dict[str, RankedHosts] = {}
        self._version = -1
        self._clock = clock
        self.own = own

    @property
    def is_own_known(self) -> bool:
        """Whether the other hosts probably know that this host is registered.

        Until then they divide limits without it.
        """
        registered_ms = self._catalog.own_registered_ms
        age_ms = self._clock.now_ms() - registered_ms
        return age_ms >= _catalogs.HOSTS_SETTLED_MS

    def rank(self, server: _resources.Server) -> RankedHosts:
        """Returns the hosts that ask a server."""
        if self._version != self._catalog.shares_version:
            self._version = self._catalog.shares_version
            self._ranked = {}
        name = server.instance_id
        if name not in self._ranked:
            self._ranked[name] = self._create(server)
        return self._ranked[name]

    def _create(self, server: _resources.Server) -> RankedHosts:
        # A host that is not registered is left out, as the other hosts do not
        # count it.
        registered = [
            host
            for host in self._catalog.find_askers(server.service)
            if host.name in self._catalog.hosts
        ]
        hosts = _limitshares.rank_holders(registered, server.instance_id)
        indexes = {host.name: index for index, host in enumerate(hosts)}
        own_index = indexes.pop(self.own.name, len(hosts))
        near_first = sorted(
            map(indexes.__getitem__, base.rank_names(indexes, self.own.name)),
            key=lambda index: hosts[index].domain != self.own.domain,
        )
        return RankedHosts(
            hosts=hosts, own_index=own_index, near_first=tuple(near_first)
        )


def create_holder_ranking(
    catalog: _catalogs.Catalog, clock: base.Clock, own: _resources.HostRecord
) -> HolderRanking:
    """Creates the ranking of a host.

    Args:
      catalog: The hosts and routes.
      clock: The clock of the process.
      own: The record of this host.
    """
    return HolderRanking(catalog, clock, own)
