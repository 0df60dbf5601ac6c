"""Leases that let hosts be homes of servers in one failure domain."""

from collections.abc import Mapping

import attrs

import cowslipvalve_model as model

_FORWARDING_DURATION_LEASES = 5  # In multiples of the lease time.
_USUAL_HEARTBEAT_LAG = 2  # Heartbeats in transit in normal operation.


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """Times that are equal on all hosts of a deployment."""

    # The time between two heartbeats, in ms.
    heartbeat_ms: float
    # The silence in ms after which a host no longer has to confirm the leases
    # of others.
    dead_ms: float
    # The silence in ms after which a host has lost its homes.
    lease_ms: float


@attrs.frozen
class _ReceivedHeartbeat:
    """The latest heartbeat of a host and when this host received it."""

    record: model.HeartbeatRecord
    received_ms: float


class LeaseKeeper:
    """Decides whether this host may be the home of servers of its domain.

    Each heartbeat lists the heartbeats of other hosts that its sender has
    seen. Listing a heartbeat is a promise not to take over the homes of its
    host for one lease time. The host counts its lease from just before it sent
    the heartbeat, and the others count from when they received it, which is
    later. The lease has therefore always ended when another host takes over,
    whatever the clocks show and however long a process was paused in between.
    The promise may arrive through any third host.
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
        # Servers that no other host has work on. The set is valid while the
        # live hosts are the same, so that a joining host does not interrupt
        # the work on these servers.
        self._acquired: set[str] = set()
        self._acquired_among: frozenset[str] = frozenset()
        # The times in ms until which this host forwards heartbeats, by receiver
        # and host that sent them first.
        self._forwarding_until_ms: dict[tuple[str, str], float] = {}
        self._own_heartbeat = model.HeartbeatRecord(
            host, incarnation, 0, 0, model.HostState.JOINING, {}
        )

    @property
    def state(self) -> model.HostState:
        """The state of this host, such as joining or live."""
        return self._own_heartbeat.state

    def advance_heartbeat(
        self, holding: tuple[str, ...]
    ) -> model.HeartbeatRecord:
        """Creates and returns the next heartbeat of this host.

        It must be called before the heartbeat is sent, since the lease counts
        from the time of the call.

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
        """Marks this host as leaving, which ends its lease on its homes."""
        self._update_own_heartbeat(
            self._own_heartbeat.number + 1,
            model.HostState.LEAVING,
            self._own_heartbeat.holding,
        )
        self._sent_ms[self._own_heartbeat.number] = self._clock.now_ms()

    def detect_pause(self) -> None:
        """Detects whether this process was paused.

        A paused process has missed heartbeats, so it observes for another
        lease time before it takes over any server.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_activity_ms > self._times.dead_ms:
            self._observing_since_ms = now_ms
        self._last_activity_ms = now_ms

    def merge(self, records: tuple[model.HeartbeatRecord, ...]) -> None:
        """Merges heartbeats that came from their hosts or were forwarded."""
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
        """Returns this host's heartbeat and those that the receiver lacks.

        In normal operation every host receives the heartbeats of the others
        directly, and only this host's own is returned. The receiver's latest
        heartbeat lists the heartbeats that the receiver has seen.
        """
        last_received = self._received.get(receiver)
        seen = last_received.record.seen if last_received else {}
        forwarded = [
            heartbeat.record
            for name, heartbeat in self._received.items()
            if name != receiver
            and self._should_forward(receiver, seen.get(name), heartbeat.record)
        ]
        return (self._own_heartbeat, *forwarded)

    def _should_forward(
        self,
        receiver: str,
        seen: tuple[int, int] | None,
        record: model.HeartbeatRecord,
    ) -> bool:
        """Whether this host forwards another host's heartbeat to a receiver.

        Once the receiver has lacked heartbeats of that host, all of them are
        forwarded for several lease times, since their promises must arrive
        well within a lease.
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
        """Returns the hosts that may be homes, in the view of this host."""
        names = {
            name
            for name, heartbeat in self._received.items()
            if heartbeat.record.state is model.HostState.LIVE
            and self._was_received_within(heartbeat, self._times.lease_ms)
        }
        if self._own_heartbeat.state is model.HostState.LIVE:
            names.add(self._host)
        return frozenset(names)

    def expired_hosts(self) -> frozenset[str]:
        """Returns the hosts whose leases have ended."""
        return frozenset(
            name
            for name, heartbeat in self._received.items()
            if not self._was_received_within(heartbeat, self._times.lease_ms)
        )

    def remaining_lease_ms(self) -> float:
        """Returns for how long this host may send work to servers, in ms."""
        self.detect_pause()
        if self._own_heartbeat.state is not model.HostState.LIVE:
            return 0.0
        if not self._has_observed_for_a_lease():
            return 0.0
        now_ms = self._clock.now_ms()
        remaining_ms = self._times.lease_ms
        for heartbeat in self._received.values():
            if not self._was_received_within(heartbeat, self._times.dead_ms):
                continue
            if heartbeat.record.state is not model.HostState.LIVE:
                # Only a live host takes over servers. A joining host observes
                # for a lease time before it is live.
                continue
            start_ms = self._find_lease_start_ms(heartbeat.record.seen)
            remaining_ms = min(
                remaining_ms, start_ms + self._times.lease_ms - now_ms
            )
        return max(0.0, remaining_ms)

    def may_serve(self, server: str) -> bool:
        """Whether this host has a lease and no other may have work on a server.

        The caller must ensure that this host ranks first for the server.
        """
        if self.remaining_lease_ms() <= 0.0:
            self._acquired.clear()
            return False
        live = self.live_hosts()
        if live != self._acquired_among:
            self._acquired_among = live
            self._acquired.clear()
        if server not in self._acquired and all(
            self._has_released(heartbeat, server)
            for heartbeat in self._received.values()
        ):
            self._acquired.add(server)
        return server in self._acquired

    def _has_released(self, heartbeat: _ReceivedHeartbeat, server: str) -> bool:
        if not self._was_received_within(heartbeat, self._times.lease_ms):
            return True
        if server in heartbeat.record.holding:
            return False
        # A host that is still joining in this host's view may be live by now,
        # so it must have seen the current state of this host as well.
        seen = heartbeat.record.seen.get(self._host, (0, 0))
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
        self, heartbeat: _ReceivedHeartbeat, limit_ms: float
    ) -> bool:
        # After a pause this host cannot tell which hosts were silent meanwhile,
        # so silence counts from the end of the pause.
        since_ms = max(heartbeat.received_ms, self._observing_since_ms)
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
                name: (heartbeat.record.incarnation, heartbeat.record.number)
                for name, heartbeat in self._received.items()
                if self._was_received_within(heartbeat, self._times.lease_ms)
            },
            holding,
        )


def _is_behind(
    seen: tuple[int, int] | None, record: model.HeartbeatRecord
) -> bool:
    """Whether a host lags behind a heartbeat by more than the usual lag.

    Args:
      seen: The incarnation and number that the host has seen, if any.
      record: The heartbeat.
    """
    if seen is None or seen[0] != record.incarnation:
        return True
    return record.number - seen[1] > _USUAL_HEARTBEAT_LAG


def _get_sort_key(record: model.HeartbeatRecord) -> tuple[int, int]:
    return (record.incarnation, record.number)


def create_lease_keeper(
    clock: model.Clock, times: LeaseTimes, host: str, incarnation: int
) -> LeaseKeeper:
    """Returns the lease keeper of a host that has just started."""
    return LeaseKeeper(clock, times, host, incarnation)
