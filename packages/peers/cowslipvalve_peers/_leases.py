"""Leases on the homes of one failure domain."""

from collections.abc import Mapping

import attrs

import cowslipvalve_model as model

_PASS_ON_LEASES = 5
_USUAL_LAG = 2  # Heartbeats that are on their way when all is well.


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
class _Heard:
    """The newest heartbeat of a host and when this host first saw it."""

    beat: model.HeartbeatRecord
    heard_ms: float


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
        self._heard: dict[str, _Heard] = {}
        self._sent_ms: dict[int, float] = {}
        self._observing_since_ms = clock.now_ms()
        self._last_turn_ms = clock.now_ms()
        # Servers that no other host has work on, while the live hosts are
        # the same; a host that joins does not interrupt their work.
        self._acquired: set[str] = set()
        self._acquired_among: frozenset[str] = frozenset()
        # Until when the heartbeats of the second host go to the first by way of
        # this one, in ms.
        self._passed_on: dict[tuple[str, str], float] = {}
        self._own = model.HeartbeatRecord(
            host, incarnation, 0, 0, model.HostState.JOINING, {}
        )

    @property
    def state(self) -> model.HostState:
        """The stage that this host is in."""
        return self._own.state

    def advance_heartbeat(
        self, holding: tuple[str, ...]
    ) -> model.HeartbeatRecord:
        """Starts the next heartbeat; called before it is sent.

        Args:
          holding: The servers that this host still has work on without being
            their home.
        """
        self.note_turn()
        number = self._own.number + 1
        state = self._own.state
        if state is model.HostState.JOINING and self._has_observed_a_lease():
            state = model.HostState.LIVE
        self._renew(number, state, holding)
        self._sent_ms[number] = self._clock.now_ms()
        self._sent_ms.pop(number - self._kept_beats(), None)
        return self._own

    def leave(self) -> None:
        """Gives up all homes from now on."""
        self._renew(
            self._own.number + 1, model.HostState.LEAVING, self._own.holding
        )
        self._sent_ms[self._own.number] = self._clock.now_ms()

    def note_turn(self) -> None:
        """Notices that this process was stopped for a while.

        A stopped process has not seen the heartbeats of that time, so it
        observes for another lease before it takes anything over.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_turn_ms > self._times.dead_ms:
            self._observing_since_ms = now_ms
        self._last_turn_ms = now_ms

    def merge(self, beats: tuple[model.HeartbeatRecord, ...]) -> None:
        """Takes in heartbeats, from their senders or by way of others."""
        now_ms = self._clock.now_ms()
        for beat in beats:
            if beat.host == self._host:
                continue
            old = self._heard.get(beat.host)
            if old is None or _order(old.beat) < _order(beat):
                self._heard[beat.host] = _Heard(beat, now_ms)

    def collect_heartbeats(
        self, receiver: str
    ) -> tuple[model.HeartbeatRecord, ...]:
        """Returns the own heartbeat and those that the receiver is behind on.

        In calm every host hears the others itself, so that only the own one
        goes out. The receiver's last heartbeat says what it has seen.
        """
        known = self._heard.get(receiver)
        seen = known.beat.seen if known else {}
        behind = [
            heard.beat
            for name, heard in self._heard.items()
            if name != receiver
            and self._passes_on(receiver, seen.get(name), heard.beat)
        ]
        return (self._own, *behind)

    def _passes_on(
        self,
        receiver: str,
        seen: tuple[int, int] | None,
        beat: model.HeartbeatRecord,
    ) -> bool:
        """Whether a host needs another one's heartbeats from this host.

        Once it has lacked some, it gets each of them for a while, since their
        promises have to arrive well within a lease.
        """
        now_ms = self._clock.now_ms()
        if _is_behind(seen, beat):
            until_ms = now_ms + _PASS_ON_LEASES * self._times.lease_ms
            self._passed_on[(receiver, beat.host)] = until_ms
        return now_ms < self._passed_on.get((receiver, beat.host), 0.0)

    def live_hosts(self) -> frozenset[str]:
        """Returns the hosts that may be homes, as this host sees them."""
        names = {
            name
            for name, heard in self._heard.items()
            if heard.beat.state is model.HostState.LIVE
            and self._is_within(heard, self._times.lease_ms)
        }
        if self._own.state is model.HostState.LIVE:
            names.add(self._host)
        return frozenset(names)

    def expired_hosts(self) -> frozenset[str]:
        """Returns the hosts whose leases have ended."""
        return frozenset(
            name
            for name, heard in self._heard.items()
            if not self._is_within(heard, self._times.lease_ms)
        )

    def lease_left_ms(self) -> float:
        """Returns for how long this host may send work to its servers."""
        self.note_turn()
        if self._own.state is not model.HostState.LIVE:
            return 0.0
        if not self._has_observed_a_lease():
            return 0.0
        now_ms = self._clock.now_ms()
        left_ms = self._times.lease_ms
        for heard in self._heard.values():
            if not self._is_within(heard, self._times.dead_ms):
                continue
            if heard.beat.state is not model.HostState.LIVE:
                # It takes nothing over; a joining one first observes a lease.
                continue
            sent_ms = self._promise_sent_ms(heard.beat.seen)
            left_ms = min(left_ms, sent_ms + self._times.lease_ms - now_ms)
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
            self._has_released(heard, server) for heard in self._heard.values()
        ):
            self._acquired.add(server)
        return server in self._acquired

    def _has_released(self, heard: _Heard, server: str) -> bool:
        if not self._is_within(heard, self._times.lease_ms):
            return True
        if server in heard.beat.holding:
            return False
        # A host that still counts as joining here may just have become live,
        # so that it has to know of this host as well.
        seen = heard.beat.seen.get(self._host, (0, 0))
        return tuple(seen) >= (self._own.incarnation, self._own.state_since)

    def _promise_sent_ms(self, seen: Mapping[str, tuple[int, int]]) -> float:
        incarnation, number = seen.get(self._host, (0, 0))
        if incarnation != self._own.incarnation:
            return float("-inf")
        return self._sent_ms.get(number, float("-inf"))

    def _has_observed_a_lease(self) -> bool:
        observed_ms = self._clock.now_ms() - self._observing_since_ms
        return observed_ms >= self._times.lease_ms

    def _is_within(self, heard: _Heard, limit_ms: float) -> bool:
        # A host that was stopped itself cannot tell who was silent meanwhile.
        since_ms = max(heard.heard_ms, self._observing_since_ms)
        return self._clock.now_ms() - since_ms < limit_ms

    def _kept_beats(self) -> int:
        return 2 + int(self._times.lease_ms / self._times.heartbeat_ms)

    def _renew(
        self, number: int, state: model.HostState, holding: tuple[str, ...]
    ) -> None:
        changed = state is not self._own.state
        self._own = model.HeartbeatRecord(
            self._host,
            self._own.incarnation,
            number,
            number if changed else self._own.state_since,
            state,
            {
                name: (heard.beat.incarnation, heard.beat.number)
                for name, heard in self._heard.items()
                if self._is_within(heard, self._times.lease_ms)
            },
            holding,
        )


def _is_behind(
    seen: tuple[int, int] | None, beat: model.HeartbeatRecord
) -> bool:
    """Whether a host that has seen so much lacks a heartbeat for too long."""
    if seen is None or seen[0] != beat.incarnation:
        return True
    return beat.number - seen[1] > _USUAL_LAG


def _order(beat: model.HeartbeatRecord) -> tuple[int, int]:
    return (beat.incarnation, beat.number)


def create_lease_keeper(
    clock: model.Clock, times: LeaseTimes, host: str, incarnation: int
) -> LeaseKeeper:
    """Returns the keeper of a host that has just started."""
    return LeaseKeeper(clock, times, host, incarnation)
