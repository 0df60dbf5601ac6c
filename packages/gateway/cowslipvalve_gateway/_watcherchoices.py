"""Choice of the hosts that watch the store and that the others query."""

from collections.abc import Collection, Iterable, Mapping

import cowslipvalve_base as base
from cowslipvalve_gateway import _resources

_WATCHER_RANKING_KEY = "store-watcher"
# Each follower polls twice a second, which takes 1 ms of CPU time per poll.
_FOLLOWERS_PER_WATCHER = 40


def rank_hosts(
    hosts: Mapping[str, _resources.HostRecord], domain: str
) -> list[_resources.HostRecord]:
    """Returns the hosts of a domain in the order in which they watch."""
    names = [h.name for h in hosts.values() if h.domain == domain]
    return [
        hosts[name] for name in base.rank_names(names, _WATCHER_RANKING_KEY)
    ]


def count_watchers(hosts: Collection[_resources.HostRecord]) -> int:
    """Returns how many of the hosts of a domain are to watch the store."""
    return -(-len(hosts) // _FOLLOWERS_PER_WATCHER)


def choose_watchers(
    hosts: Mapping[str, _resources.HostRecord], domain: str
) -> list[_resources.HostRecord]:
    """Returns the hosts of a failure domain that are to watch the store."""
    ranked = rank_hosts(hosts, domain)
    return ranked[: count_watchers(ranked)]


def choose_first_watchers(
    hosts: Mapping[str, _resources.HostRecord],
) -> set[str]:
    """Returns the state address of one watcher of each failure domain."""
    domains = {host.domain for host in hosts.values()}
    return {
        choose_watchers(hosts, domain)[0].state_address for domain in domains
    }


class WatcherChoice:
    """Decides whether a host watches the store and which hosts it queries.

    Attributes:
      seeds: State addresses of some hosts, possibly out of date.
    """

    def __init__(
        self,
        own: _resources.HostRecord,
        seeds: Iterable[str],
        regions: Mapping[str, str],
    ) -> None:
        self._own = own
        self.seeds = tuple(seeds)
        self._regions = regions

    def is_watcher(self, hosts: Mapping[str, _resources.HostRecord]) -> bool:
        """Whether this host is to watch the store.

        While no hosts are known, the seeds are the watchers. A host whose own
        record is not known yet is none: while many hosts start, few are known,
        and each of the others would choose itself.
        """
        if not hosts:
            return self._own.state_address in self.seeds
        if self._own.name not in hosts:
            return False
        watchers = choose_watchers(hosts, self._own.domain)
        return any(watcher.name == self._own.name for watcher in watchers)

    def near_sources(
        self, hosts: Mapping[str, _resources.HostRecord]
    ) -> list[str]:
        """Returns the addresses of the watchers in this host's domain."""
        return self._exclude_own(self._rank_watchers(hosts, self._own.domain))

    def far_sources(
        self, hosts: Mapping[str, _resources.HostRecord]
    ) -> list[str]:
        """Returns a watcher's address per other domain, and the seeds."""
        region = self._regions.get(self._own.domain, "")
        domains = {h.domain for h in hosts.values()} - {self._own.domain}
        ordered = sorted(
            domains, key=lambda d: (self._regions.get(d) != region, d)
        )
        found: list[str] = []
        for domain in ordered:
            found.extend(self._rank_watchers(hosts, domain)[:1])
        return self._exclude_own([*found, *self.seeds])

    def other_watchers(
        self, hosts: Mapping[str, _resources.HostRecord]
    ) -> list[str]:
        """Returns the addresses of the other watchers of all domains."""
        domains = {host.domain for host in hosts.values()}
        return self._exclude_own(
            watcher.state_address
            for domain in sorted(domains)
            for watcher in choose_watchers(hosts, domain)
        )

    def _rank_watchers(
        self, hosts: Mapping[str, _resources.HostRecord], domain: str
    ) -> tuple[str, ...]:
        """Returns the addresses of a domain's watchers, preferred ones first.

        The order depends on this host's name, which spreads the hosts over the
        watchers.
        """
        watchers = choose_watchers(hosts, domain)
        return base.rank_names(
            (watcher.state_address for watcher in watchers), self._own.name
        )

    def _exclude_own(self, addresses: Iterable[str]) -> list[str]:
        unique = dict.fromkeys(address for address in addresses if address)
        unique.pop(self._own.state_address, None)
        return list(unique)


def create_watcher_choice(
    own: _resources.HostRecord,
    seeds: Iterable[str],
    regions: Mapping[str, str],
) -> WatcherChoice:
    """Creates the watcher choice of a host.

    Args:
      own: The record of this host.
      seeds: State addresses of some hosts, possibly out of date.
      regions: The region of each failure domain.
    """
    return WatcherChoice(own, seeds, regions)
