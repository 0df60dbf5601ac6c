"""Choice of the hosts that this host probes, to learn who is present."""

import random
from collections.abc import Mapping

import attrs

from cowslipvalve_gateway import _hostpresences
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _watcherchoices

# So many hosts beside the watchers of a domain observe them too, to replace
# one that ends with all that it knew.
_SPARE_WATCHERS = 1
# These bound the cost of a round when many hosts are lost together.
_MAX_WALKED = 8
_MAX_ABSENT_PROBED = 8
# The other hosts of a domain are probed in turn, a few in each round.
_PROBED_IN_TURN = 2

_Hosts = Mapping[str, _resources.HostRecord]


@attrs.frozen(kw_only=True)
class PresencePlan:
    """What this host does to learn who is present."""

    # Whether this host probes others.
    observes: bool
    # Whether it takes away the records of lost hosts of its domain.
    removes: bool
    # The hosts to probe in this round.
    probed: tuple[_resources.HostRecord, ...]


class PresencePlanner:
    """Plans the rounds of probes of one host."""

    def __init__(
        self,
        own: _resources.HostRecord,
        presence: _hostpresences.HostPresence,
    ) -> None:
        self._own = own
        self._presence = presence
        # The last host that was probed in turn.
        self._last_in_turn = ""

    def plan(self, hosts: _Hosts, is_watching: bool) -> PresencePlan:
        """Returns the plan of the next round.

        Args:
          hosts: The hosts of the deployment by name.
          is_watching: Whether this host watches the store.
        """
        present = self._presence.select_present(hosts)
        near = _watcherchoices.rank_hosts(present, self._own.domain)
        needed = _watcherchoices.count_watchers(near) + _SPARE_WATCHERS
        names = [host.name for host in near]
        if not is_watching and self._own.name not in names[:needed]:
            return PresencePlan(observes=False, removes=False, probed=())
        removes = names[:1] == [self._own.name]
        probed = {host.name: host for host in self._walk(near, needed)}
        for domain in {host.domain for host in present.values()}:
            if domain != self._own.domain:
                ranked = _watcherchoices.rank_hosts(present, domain)
                probed.update({h.name: h for h in self._walk(ranked, 1)})
        if removes:
            rest = {n: present[n] for n in names if n not in probed}
            probed.update(self._choose_in_turn(rest))
        probed.update(self._choose_absent(hosts))
        probed.pop(self._own.name, None)
        return PresencePlan(
            observes=True,
            removes=removes,
            probed=tuple(h for h in probed.values() if h.state_address),
        )

    def _walk(
        self, ranked: list[_resources.HostRecord], needed: int
    ) -> list[_resources.HostRecord]:
        """Returns the first hosts, until enough of them answered last time."""
        walked: list[_resources.HostRecord] = []
        sound = 0
        for host in ranked[:_MAX_WALKED]:
            walked.append(host)
            sound += not self._presence.count_failures(host.name)
            if sound >= needed:
                break
        return walked

    def _choose_in_turn(self, hosts: _Hosts) -> _Hosts:
        """Returns the hosts in doubt, and the next ones in turn."""
        names = sorted(hosts)
        doubtful = [n for n in names if self._presence.count_failures(n)]
        later = [n for n in names if n > self._last_in_turn]
        turn = [*later, *names][:_PROBED_IN_TURN]
        if turn:
            self._last_in_turn = turn[-1]
        return {n: hosts[n] for n in (*doubtful[:_MAX_WALKED], *turn)}

    def _choose_absent(self, hosts: _Hosts) -> _Hosts:
        """Returns some absent hosts, which may be back."""
        absent = [n for n in self._presence.list_absent() if n in hosts]
        chosen = random.sample(absent, min(len(absent), _MAX_ABSENT_PROBED))
        return {name: hosts[name] for name in chosen}


def create_presence_planner(
    own: _resources.HostRecord, presence: _hostpresences.HostPresence
) -> PresencePlanner:
    """Creates the planner of a host.

    Args:
      own: The record of this host.
      presence: Which hosts are present.
    """
    return PresencePlanner(own, presence)
