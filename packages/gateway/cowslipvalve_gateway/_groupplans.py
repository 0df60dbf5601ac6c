"""Division of a fan-out's shards into groups, and the hosts that ask them.

Answers the load of a fan-out over more shards than one host can ask in time.
"""

import collections
import math
from collections.abc import Collection, Iterable, Mapping

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _resources

# One host asks up to so many shards within the targets, without another hop.
_MAX_DIRECT_SHARDS = 40
# Processor time of one part on a core of capacity 1.
_PART_TIME_MS = 0.9
# The processor time of a group; a shorter one costs the entry host more in
# messages than the query gains.
_GROUP_TIME_MS = 15.0
_MIN_ASKERS = 2  # One can substitute for the other.
_RANKING_KEY = "group-asker"
# Shares of the limits on a service. Preferred hosts ask nearly all requests;
# substitutes replace them; any host asks directly if both fail.
_PREFERRED_SHARE = 0.5
_SUBSTITUTE_SHARE = 0.25
_OTHERS_SHARE = 0.25


@attrs.frozen(kw_only=True)
class ShardGroup:
    """Some shards of a route and the hosts of one domain that ask them."""

    # The services of the shards.
    shards: tuple[str, ...]
    # The preferred host and its substitute.
    hosts: tuple[_resources.HostRecord, ...]


class GroupPlanner:
    """Plans the groups of each set of shards for a host's own domain.

    All hosts that know the same hosts make the same plan, so that few hosts
    ask a server: their connections stay in use, and each has a share of the
    limits on a service that suffices for its hedges.
    """

    def __init__(self, own: _resources.HostRecord) -> None:
        self._own = own
        self._hosts: dict[str, _resources.HostRecord] = {own.name: own}
        self._groups: dict[tuple[str, ...], tuple[ShardGroup, ...]] = {}
        # This host's share of the limits, by service of a grouped fan-out.
        self._shares: dict[str, float] = {}
        # The grouped services that this host asks or substitutes for.
        self._asked: set[str] = set()
        self._shard_sets: frozenset[tuple[str, ...]] = frozenset()
        # The preferred hosts of all domains by service, for each set of shards
        # that was asked about since the last update.
        self._askers: dict[
            tuple[str, ...], dict[str, list[_resources.HostRecord]]
        ] = {}

    def update(
        self,
        shard_sets: Iterable[tuple[str, ...]],
        hosts: Mapping[str, _resources.HostRecord],
    ) -> None:
        """Replaces the plans.

        Args:
          shard_sets: The shards of each fan-out route.
          hosts: The hosts of the deployment by name; this host is added.
        """
        self._hosts = {**hosts, self._own.name: self._own}
        self._groups = {}
        self._shares = {}
        self._asked = set()
        self._askers = {}
        domains = _group_by_domain(self._hosts.values())
        unique_sets = frozenset(shard_sets)
        self._shard_sets = unique_sets
        set_counts = collections.Counter(s for u in unique_sets for s in u)
        for shards in unique_sets:
            self._groups[shards] = _create_groups(
                shards, domains[self._own.domain]
            )
            self._add_shares(shards, domains, set_counts)

    def find_groups(self, shards: tuple[str, ...]) -> tuple[ShardGroup, ...]:
        """Returns the groups of some shards, none if asked directly."""
        return self._groups.get(shards, ())

    def is_asker(self, service: str) -> bool:
        """Whether this host usually asks a service, or may soon have to."""
        return service not in self._shares or service in self._asked

    def find_askers(self, service: str) -> Collection[_resources.HostRecord]:
        """Returns the hosts of all domains that usually ask a service.

        Substitutes are left out, as they ask only for hosts that have failed.
        """
        sets = [shards for shards in self._shard_sets if service in shards]
        if not sets:
            return self._hosts.values()
        found: dict[str, _resources.HostRecord] = {}
        for shards in sets:
            for host in self._find_set_askers(shards)[service]:
                found[host.name] = host
        return found.values()

    def _find_set_askers(
        self, shards: tuple[str, ...]
    ) -> dict[str, list[_resources.HostRecord]]:
        """Returns the hosts that usually ask each shard of a set."""
        if shards in self._askers:
            return self._askers[shards]
        askers: dict[str, list[_resources.HostRecord]] = {
            service: [] for service in shards
        }
        for hosts in _group_by_domain(self._hosts.values()).values():
            groups = _create_groups(shards, hosts)
            for group in groups:
                for service in group.shards:
                    askers[service].append(group.hosts[0])
            if not groups:
                for service in shards:
                    askers[service].extend(hosts)
        self._askers[shards] = askers
        return askers

    def is_member(self, hosts: Collection[str]) -> bool:
        """Whether this host is one of some hosts, given by name."""
        return self._own.name in hosts

    def find_share(self, service: str) -> float:
        """Returns this host's share, at most 1, of the limits on a service."""
        return self._shares.get(service, 1.0 / len(self._hosts))

    def _add_shares(
        self,
        shards: tuple[str, ...],
        domains: Mapping[str, list[_resources.HostRecord]],
        set_counts: Mapping[str, int],
    ) -> None:
        """Adds this host's shares for one set of shards.

        A service that several sets name is asked by the hosts of each of them,
        so each set gets a part of the limits.
        """
        grouped = [d for d, h in domains.items() if _is_grouped(shards, h)]
        if not grouped:
            return
        direct_hosts = sum(
            len(hosts) for d, hosts in domains.items() if d not in grouped
        )
        if self._own.domain not in grouped:
            self._asked.update(shards)
        # A host that asks directly has the load of a part of a domain.
        sharers = len(grouped) + direct_hosts
        for service in shards:
            share = _OTHERS_SHARE / len(self._hosts)
            if self._own.domain not in grouped:
                share += _PREFERRED_SHARE / sharers
            self._shares[service] = max(self._shares.get(service, 0.0), share)
        for group in self._groups[shards]:
            for index, host in enumerate(group.hosts):
                if host.name != self._own.name:
                    continue
                part = _SUBSTITUTE_SHARE if index else _PREFERRED_SHARE
                self._asked.update(group.shards)
                for service in group.shards:
                    divisor = sharers * set_counts[service]
                    self._shares[service] += part / divisor


def _group_by_domain(
    hosts: Iterable[_resources.HostRecord],
) -> dict[str, list[_resources.HostRecord]]:
    domains: dict[str, list[_resources.HostRecord]] = {}
    for host in hosts:
        domains.setdefault(host.domain, []).append(host)
    return domains


def _is_grouped(
    shards: tuple[str, ...], hosts: list[_resources.HostRecord]
) -> bool:
    return len(shards) > _MAX_DIRECT_SHARDS and len(hosts) > 1


def _create_groups(
    shards: tuple[str, ...], hosts: list[_resources.HostRecord]
) -> tuple[ShardGroup, ...]:
    """Returns the groups of a domain, none if its hosts ask directly.

    Each shard goes to one of the chosen hosts by rendezvous hashing weighted
    by capacity, so that a host that comes or goes moves few shards.
    """
    if not _is_grouped(shards, hosts):
        return ()
    chosen = _choose_askers(len(shards), hosts)
    members: dict[str, list[str]] = {name: [] for name in chosen}
    for shard in shards:
        preferred = min(
            chosen, key=lambda name: _compute_distance(chosen[name], shard)
        )
        members[preferred].append(shard)
    return tuple(
        ShardGroup(
            shards=tuple(members[name]),
            hosts=(chosen[name], _choose_substitute(chosen, name)),
        )
        for name in sorted(chosen)
        if members[name]
    )


def _choose_askers(
    shard_count: int, hosts: list[_resources.HostRecord]
) -> dict[str, _resources.HostRecord]:
    """Returns the strongest hosts that can ask the shards in time together.

    Hosts of equal capacity are ordered by rendezvous hashing.
    """
    needed = shard_count * _PART_TIME_MS / _GROUP_TIME_MS
    ranks = base.rank_names((host.name for host in hosts), _RANKING_KEY)
    order = {name: index for index, name in enumerate(ranks)}
    chosen: dict[str, _resources.HostRecord] = {}
    for host in sorted(hosts, key=lambda h: (-h.capacity, order[h.name])):
        has_enough = sum(h.capacity for h in chosen.values()) >= needed
        if has_enough and len(chosen) >= _MIN_ASKERS:
            break
        chosen[host.name] = host
    return chosen


def _compute_distance(host: _resources.HostRecord, shard: str) -> float:
    """Returns the distance of weighted rendezvous hashing; least is best."""
    return -math.log(base.compute_fraction(host.name, shard)) / host.capacity


def _choose_substitute(
    chosen: Mapping[str, _resources.HostRecord], name: str
) -> _resources.HostRecord:
    others = [host for other, host in chosen.items() if other != name]
    return min(others, key=lambda host: _compute_distance(host, name))


def create_group_planner(own: _resources.HostRecord) -> GroupPlanner:
    """Creates a planner that knows only its own host.

    Args:
      own: The record of this host.
    """
    return GroupPlanner(own)
