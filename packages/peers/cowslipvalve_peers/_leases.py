"""Leases on the homes of one failure domain."""

from collections.abc import Mapping

import attrs

import cowslipvalve_model as model

_FORWARDING_DURATION_LEASES = 5
_USUAL_HEARTBEAT_LAG = 2  # Heartbeats that are on their way when all is well.


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """The times that all hosts of a deployment agree on."""

    # The time between two heartbeats, in ms.
    heartbeat_ms: float
    # A host that is silent for this long is no longer asked, in ms.
    dead_ms: float
    # A host that is silent for this long has lost its homes, in ms.
    lease_ms: float


@attrs.frozen
class _ReceivedHeartbeat:
    """The newest heartbeat of a host and when this host first saw it."""

    record: model.HeartbeatRecord
    received_ms: float


class LeaseKeeper:
    """Decides whether this host may be home to servers of its domain.

    Each heartbeat says which heartbeats of the others its sender has seen.
    Seeing one is a promise not to take its sender's homes for a lease. The
    sender counts the lease from the moment before it sent that heartbeat, and
    the others count it from the moment they saw it, which is later: so the
    holder's lease has always ended when another host takes over, whatever
    their clocks show and however long a process was stopped in between. The
    promise may come by way of any third host.
    """

    def __init__(
        self, clock: model.Clock, times: LeaseTimes, host: str, incarnation: int
    ) -> None:
        self._clock = clock
        self._times = times
        self._host = host
        self._received: dict[str, _ReceivedHeartbeat] = {}
        self._sent_ms: dict[int, float] = {}
        self._observing_since_ms = clock.now_ms()
        self._last_activity_ms = clock.now_ms()
        # Servers that no other host has work on, while the live hosts are
        # the same; a host that joins does not interrupt their work.
        self._acquired: set[str] = set()
        self._acquired_among: frozenset[str] = frozenset()
        # Until when the heartbeats of the second host go to the first by way of
        # this one, in ms.
        self._forwarding_until_ms: dict[tuple[str, str], float] = {}
        self._own_heartbeat = model.HeartbeatRecord(
            host, incarnation, 0, 0, model.HostState.JOINING, {}
        )

    @property
    def state(self) -> model.HostState:
        """The stage that this host is in."""
        return self._own_heartbeat.state

    def advance_heartbeat(
        self, holding: tuple[str, ...]
    ) -> model.HeartbeatRecord:
        """Starts the next heartbeat; called before it is sent.

        Args:
          holding: The servers that this host still has work on without being
            their home.
        """
        self.detect_pause()
        number = self._own_heartbeat.number + 1
        state = self._own_heartbeat.state
        if (
            state is model.HostState.JOINING
            and self._has_observed_for_a_lease()
        ):
            state = model.HostState.LIVE
        self._update_own_heartbeat(number, state, holding)
        self._sent_ms[number] = self._clock.now_ms()
        self._sent_ms.pop(number - self._count_kept_send_times(), None)
        return self._own_heartbeat

    def leave(self) -> None:
        """Gives up all homes from now on."""
        self._update_own_heartbeat(
            self._own_heartbeat.number + 1,
            model.HostState.LEAVING,
            self._own_heartbeat.holding,
        )
        self._sent_ms[self._own_heartbeat.number] = self._clock.now_ms()

    def detect_pause(self) -> None:
        """Notices that this process was stopped for a while.

        A stopped process has not seen the heartbeats of that time, so it
        observes for another lease before it takes anything over.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_activity_ms > self._times.dead_ms:
            self._observing_since_ms = now_ms
        self._last_activity_ms = now_ms

    def merge(self, records: tuple[model.HeartbeatRecord, ...]) -> None:
        """Takes in heartbeats, from their senders or by way of others."""
        now_ms = self._clock.now_ms()
        for record in records:
            if record.host == self._host:
                continue
            old = self._received.get(record.host)
            if old is None or _get_sort_key(old.record) < _get_sort_key(record):
                self._received[record.host] = _ReceivedHeartbeat(record, now_ms)

    def collect_heartbeats(
        self, receiver: str
    ) -> tuple[model.HeartbeatRecord, ...]:
        """Returns the own heartbeat and those that the receiver is behind on.

        In calm every host hears the others itself, so that only the own one
        goes out. The receiver's last heartbeat says what it has seen.
        """
        last_received = self._received.get(receiver)
        seen = last_received.record.seen if last_received else {}
        forwarded = [
            heard.record
            for name, heard in self._received.items()
            if name != receiver
            and self._should_forward(receiver, seen.get(name), heard.record)
        ]
        return (self._own_heartbeat, *forwarded)

    def _should_forward(
        self,
        receiver: str,
        seen: tuple[int, int] | None,
        record: model.HeartbeatRecord,
    ) -> bool:
        """Whether a host needs another one's heartbeats from this host.

        Once it has lacked some, it gets each of them for a while, since their
        promises have to arrive well within a lease.
        """
        now_ms = self._clock.now_ms()
        if _is_behind(seen, record):
            until_ms = (
                now_ms + _FORWARDING_DURATION_LEASES * self._times.lease_ms
            )
            self._forwarding_until_ms[(receiver, record.host)] = until_ms
        return now_ms < self._forwarding_until_ms.get(
            (receiver, record.host), 0.0
        )

    def live_hosts(self) -> frozenset[str]:
        """Returns the hosts that may be homes, as this host sees them."""
        names = {
            name
            for name, heard in self._received.items()
            if heard.record.state is model.HostState.LIVE
            and self._was_received_within(heard, self._times.lease_ms)
        }
        if self._own_heartbeat.state is model.HostState.LIVE:
            names.add(self._host)
        return frozenset(names)

    def expired_hosts(self) -> frozenset[str]:
        """Returns the hosts whose leases have ended."""
        return frozenset(
            name
            for name, heard in self._received.items()
            if not self._was_received_within(heard, self._times.lease_ms)
        )

    def lease_left_ms(self) -> float:
        """Returns for how long this host may send work to its servers."""
        self.detect_pause()
        if self._own_heartbeat.state is not model.HostState.LIVE:
            return 0.0
        if not self._has_observed_for_a_lease():
            return 0.0
        now_ms = self._clock.now_ms()
        left_ms = self._times.lease_ms
        for heard in self._received.values():
            if not self._was_received_within(heard, self._times.dead_ms):
                continue
            if heard.record.state is not model.HostState.LIVE:
                # It takes nothing over; a joining one first observes a lease.
                continue
            start_ms = self._find_lease_start_ms(heard.record.seen)
            left_ms = min(left_ms, start_ms + self._times.lease_ms - now_ms)
        return max(0.0, left_ms)

    def may_serve(self, server: str) -> bool:
        """Whether no other host may still have work on a server.

        The caller has made sure that this host ranks first for the server.
        """
        if self.lease_left_ms() <= 0.0:
            self._acquired.clear()
            return False
        live = self.live_hosts()
        if live != self._acquired_among:
            self._acquired_among = live
            self._acquired.clear()
        if server not in self._acquired and all(
            self._has_released(heard, server)
            for heard in self._received.values()
        ):
            self._acquired.add(server)
        return server in self._acquired

    def _has_released(self, heard: _ReceivedHeartbeat, server: str) -> bool:
        if not self._was_received_within(heard, self._times.lease_ms):
            return True
        if server in heard.record.holding:
            return False
        # A host that still counts as joining here may just have become live,
        # so that it has to know of this host as well.
        seen = heard.record.seen.get(self._host, (0, 0))
        return tuple(seen) >= (
            self._own_heartbeat.incarnation,
            self._own_heartbeat.state_since,
        )

    def _find_lease_start_ms(
        self, seen: Mapping[str, tuple[int, int]]
    ) -> float:
        incarnation, number = seen.get(self._host, (0, 0))
        if incarnation != self._own_heartbeat.incarnation:
            return float("-inf")
        return self._sent_ms.get(number, float("-inf"))

    def _has_observed_for_a_lease(self) -> bool:
        observed_ms = self._clock.now_ms() - self._observing_since_ms
        return observed_ms >= self._times.lease_ms

    def _was_received_within(
        self, heard: _ReceivedHeartbeat, limit_ms: float
    ) -> bool:
        # A host that was stopped itself cannot tell who was silent meanwhile.
        since_ms = max(heard.received_ms, self._observing_since_ms)
        return self._clock.now_ms() - since_ms < limit_ms

    def _count_kept_send_times(self) -> int:
        return 2 + int(self._times.lease_ms / self._times.heartbeat_ms)

    def _update_own_heartbeat(
        self, number: int, state: model.HostState, holding: tuple[str, ...]
    ) -> None:
        changed = state is not self._own_heartbeat.state
        self._own_heartbeat = model.HeartbeatRecord(
            self._host,
            self._own_heartbeat.incarnation,
            number,
            number if changed else self._own_heartbeat.state_since,
            state,
            {
                name: (heard.record.incarnation, heard.record.number)
                for name, heard in self._received.items()
                if self._was_received_within(heard, self._times.lease_ms)
            },
            holding,
        )


def _is_behind(
    seen: tuple[int, int] | None, record: model.HeartbeatRecord
) -> bool:
    """Whether a host that has seen so much lacks a heartbeat for too long."""
    if seen is None or seen[0] != record.incarnation:
        return True
    return record.number - seen[1] > _USUAL_HEARTBEAT_LAG


def _get_sort_key(record: model.HeartbeatRecord) -> tuple[int, int]:
    return (record.incarnation, record.number)


def create_lease_keeper(
    clock: model.Clock, times: LeaseTimes, host: str, incarnation: int
) -> LeaseKeeper:
    """Returns the keeper of a host that has just started."""
    return LeaseKeeper(clock, times, host, incarnation)
