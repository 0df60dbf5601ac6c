"""Which hosts of the deployment are present.

The record of a host that ended without a drain stays in the store. So records
alone do not tell who can watch the store, judge requests or help others.
"""

import logging
from collections.abc import Collection, Iterable, Mapping

import cowslipvalve_base as base
from cowslipvalve_gateway import _resources

# A restarting, frozen or busy host fails fewer probes in a row in most cases.
# One that fails more only loses its duties until it answers again.
_MAX_FAILURES = 3

_logger = logging.getLogger(__name__)


class HostPresence:
    """Knows which hosts do not answer.

    Hosts that observe others go by their own probes. All others take over what
    the host observes whose state they follow.

    Attributes:
      observes: Whether this host goes by its own probes.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._absent: set[str] = set()
        # The number of probes that failed since the last answer.
        self._failures: dict[str, int] = {}
        self.observes = False

    def is_absent(self, name: str) -> bool:
        """Whether a host does not answer."""
        return name in self._absent

    def count_failures(self, name: str) -> int:
        """Returns how many probes of a host have failed in a row."""
        return self._failures.get(name, 0)

    def list_absent(self) -> tuple[str, ...]:
        """Returns the names of the hosts that do not answer."""
        return tuple(sorted(self._absent))

    def select_present(
        self, hosts: Mapping[str, _resources.HostRecord]
    ) -> Mapping[str, _resources.HostRecord]:
        """Returns the records of the hosts that are present, by name."""
        if self._absent.isdisjoint(hosts):
            return hosts
        return {
            name: host
            for name, host in hosts.items()
            if name not in self._absent
        }

    def record_answer(self, name: str) -> None:
        """Records that a host answered a probe."""
        self._failures.pop(name, None)
        self._replace(self._absent - {name})

    def record_failure(self, name: str) -> None:
        """Records that a host did not answer a probe."""
        self._failures[name] = self.count_failures(name) + 1
        if self._failures[name] >= _MAX_FAILURES:
            self._replace(self._absent | {name})

    def forget(self, name: str) -> None:
        """Forgets the probes of a host, which stays absent until it answers."""
        self._failures.pop(name, None)

    def adopt(self, absent: Iterable[str]) -> None:
        """Takes over the absent hosts of a host whose state is followed."""
        if not self.observes:
            self._failures.clear()
            self._replace(set(absent))

    def retain(self, names: Collection[str]) -> None:
        """Forgets all hosts but some."""
        self._failures = {n: f for n, f in self._failures.items() if n in names}
        self._replace(self._absent & set(names))

    def _replace(self, absent: set[str]) -> None:
        # Others may not reach this host, which still does what it can.
        absent = absent - {self._own_name}
        if absent == self._absent:
            return
        base.log_event(
            _logger,
            "hosts-absent",
            new=",".join(sorted(absent - self._absent)),
            back=",".join(sorted(self._absent - absent)),
            count=len(absent),
        )
        self._absent = absent


def create_host_presence(own_name: str = "") -> HostPresence:
    """Creates the presence of hosts, none of which is absent.

    Args:
      own_name: The name of this host, which is always present.
    """
    return HostPresence(own_name)
