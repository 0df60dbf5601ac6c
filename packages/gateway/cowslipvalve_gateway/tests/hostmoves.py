"""Hosts that come and go on a manual clock, with late news of each other."""

import abc
import itertools
import random
from typing import Generic, TypeVar

import attrs

import cowslipvalve_gateway as gateway
from cowslipvalve_standins import _clocks

HOST_COUNT = 8
START_MS = 300.0  # A host knows the state that long after its start.
LEAD_MS = 14_000.0  # From the start of the hosts to the first change.
NEWS_MS = 2_900.0  # A change reaches each host within this time.
_GRACE_MS = 4_000.0  # A host serves that long after it has left the others.


def create_route(service: str) -> gateway.Route:
    """Creates a route to one service."""
    return gateway.Route(
        name="read",
        host="search.example",
        path_prefix="/read/",
        split=(gateway.Share(service=service, weight=1),),
        is_idempotent=True,
        max_attempts=3,
        timeout_ms=1_500.0,
        target_ms=200.0,
    )


@attrs.define(kw_only=True, eq=False)
class Host:
    """A process of a host; its next process is another one."""

    record: gateway.HostRecord
    catalog: gateway.Catalog
    started_ms: float
    # How late the host learns of changes.
    news_ms: float
    end_ms: float = float("inf")


_HostT = TypeVar("_HostT", bound=Host)


class Deployment(abc.ABC, Generic[_HostT]):
    """Hosts of one deployment."""

    def __init__(self, seed: int, host_count: int = HOST_COUNT) -> None:
        self.rng = random.Random(seed)
        self.clock = _clocks.create_manual_clock()
        self.hosts: list[_HostT] = []
        self._host_count = host_count
        self._numbers = itertools.count()
        # The registered hosts after each change.
        self._versions: list[tuple[float, dict[str, gateway.HostRecord]]] = [
            (self.clock.now_ms(), {})
        ]

    @abc.abstractmethod
    def create_host(self, host: Host) -> _HostT:
        """Completes a host that starts."""

    def start(self) -> None:
        """Starts all hosts together."""
        for _ in range(self._host_count):
            self.add()

    def keep(self) -> None:
        """Leaves the hosts as they are."""

    def kill(self) -> None:
        """Kills a host and starts it at once under its name."""
        host = self.rng.choice(self.list_serving())
        host.end_ms = self.clock.now_ms()
        self._start(host.record)

    def stop(self) -> None:
        """Stops a host in order, or starts all that were stopped."""
        registered = len(self._versions[-1][1])
        if registered > self._host_count // 2:
            self._leave(self.choose_to_stop(self._list_registered()))
        else:
            for _ in range(self._host_count - registered):
                self.add()

    def choose_to_stop(self, registered: list[_HostT]) -> _HostT:
        """Returns one of the registered hosts."""
        return registered[0]

    def replace(self) -> None:
        """Starts a host of a new name and stops another one in order."""
        self.add()
        self.leave(1)

    def vary(self) -> None:
        """Does any of these."""
        self.rng.choice((self.kill, self.stop, self.replace))()

    def leave(self, count: int) -> None:
        """Stops the oldest hosts in order at once."""
        for host in self._list_registered()[:count]:
            self._leave(host)

    def add(self) -> None:
        """Starts a host of a new name."""
        name = f"h{next(self._numbers)}"
        record = gateway.HostRecord(name=name, domain="a", state_address=name)
        self._register({**self._versions[-1][1], name: record})
        self._start(record)

    def list_serving(self) -> list[_HostT]:
        """Returns the hosts that serve callers."""
        now_ms = self.clock.now_ms()
        return [h for h in self.hosts if h.end_ms > now_ms]

    def is_started(self, host: Host) -> bool:
        """Whether a host is past its start, so that it knows the state."""
        return self.clock.now_ms() >= host.started_ms + START_MS

    def read_records(self, host: Host) -> dict[str, gateway.HostRecord]:
        """Returns the hosts that a host knows now."""
        known_ms = self.clock.now_ms() - host.news_ms
        known = [records for t, records in self._versions if t <= known_ms]
        return known[-1] if known else {}

    def _list_registered(self) -> list[_HostT]:
        registered = self._versions[-1][1]
        return [h for h in self.list_serving() if h.record.name in registered]

    def _leave(self, host: _HostT) -> None:
        records = dict(self._versions[-1][1])
        del records[host.record.name]
        self._register(records)
        host.end_ms = self.clock.now_ms() + _GRACE_MS

    def _register(self, records: dict[str, gateway.HostRecord]) -> None:
        self._versions.append((self.clock.now_ms(), records))

    def _start(self, record: gateway.HostRecord) -> None:
        host = Host(
            record=record,
            catalog=gateway.create_catalog(
                self.clock, {}, gateway.create_group_planner(record)
            ),
            started_ms=self.clock.now_ms(),
            news_ms=self.rng.uniform(0.0, NEWS_MS),
        )
        self.hosts.append(self.create_host(host))
