"""Watches the platform's store, for this host and for its followers."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _contacts
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _restarts
from cowslipvalve_gateway import _stores

# A watch whose connection has gone silent hides changes for this long and the
# store's delay, unless another host reports them. The users allow 5 s. Each
# wait costs one call, so shorter waits mean more calls all the time.
_WATCH_WAIT_MS = {
    _stores.StateKind.CONFIGURATION: 3_700,
    _stores.StateKind.SERVERS: 3_700,
    _stores.StateKind.DOMAINS_OUT: 3_700,
    # A broken watch of the hosts only makes shares of limits inexact.
    _stores.StateKind.HOSTS: 10_000,
}
_RECOVERY_WATCH_WAIT_MS = 1
# The delay after a change. Changes come in bursts, so waiting for the rest of a
# burst saves calls.
_BURST_DELAY_MS = {
    _stores.StateKind.CONFIGURATION: 0.0,
    _stores.StateKind.SERVERS: 300.0,
    _stores.StateKind.DOMAINS_OUT: 0.0,
    _stores.StateKind.HOSTS: 2_000.0,  # Hosts restart one after the other.
}
# The state counts as confirmed only with these kinds. HOSTS is not required, as
# it only makes shares exact.
_REQUIRED_KINDS = frozenset(_stores.StateKind) - {_stores.StateKind.HOSTS}
_FIRST_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 1_000.0  # The end of an outage shows only on a call.
# Other hosts accept a state that is up to 1,500 ms old, which allows for two
# probes and their round trips.
_PROBE_INTERVAL_MS = 500.0
PROBE_TIMEOUT_MS = 600.0  # On the slowest days the store answers in 0.4 s.

# Returns the messages of some other hosts that watch the store.
AskWatchers = Callable[[], Awaitable[list[_replicas.StateMessage]]]

_logger = logging.getLogger(__name__)


class _WatchFailedError(base.CowslipvalveError):
    """A watch that waited for changes got no answer.

    Its connection may have gone silent, or the store may have ended the wait.
    """


@attrs.frozen
class _Watch:
    """A watch call in progress."""

    task: asyncio.Future[_stores.StateListing]
    # Whether the call waits for changes, not only for any answer.
    is_long: bool


class StoreWatcher:
    """Lists and watches every kind of state while it runs."""

    def __init__(
        self,
        store: _stores.StateStore,
        replica: _replicas.StateReplica,
        clock: base.Clock,
        ask_watchers: AskWatchers,
    ) -> None:
        self._store = store
        self._replica = replica
        self._clock = clock
        self._ask_watchers = ask_watchers
        # The kinds for which the store has answered since it was last lost.
        self._confirmed: set[_stores.StateKind] = set()
        self._is_lost = False
        # When the store was last lost.
        self._lost_ms = float("-inf")
        # When the last call that the store answered before was sent.
        self._last_contact_ms = float("-inf")
        # Since when the store has answered another host; asked once a loss.
        self._others_reached_ms = float("inf")
        self._others_asked_ms = float("-inf")
        self._asking = asyncio.Lock()
        self._watches: dict[_stores.StateKind, _Watch] = {}
        # By kinds whose last long watch failed.
        self._watch_delays_ms: dict[_stores.StateKind, float] = {}

    async def run(self) -> None:
        """Watches the store until the task of this call is cancelled."""
        self._replica.is_watching = True
        try:
            async with asyncio.TaskGroup() as group:
                for kind in _stores.StateKind:
                    group.create_task(self._follow(kind))
                group.create_task(self._probe())
        finally:
            self._replica.is_watching = False

    @_restarts.restart_on_error
    async def _probe(self) -> None:
        """Probes the store periodically.

        A watch alone reveals a network cut only when its wait is over.
        """
        while True:
            await self._clock.sleep_ms(_PROBE_INTERVAL_MS)
            sent_ms = self._clock.now_ms()
            try:
                era = await self._store.probe(PROBE_TIMEOUT_MS)
            except base.PlatformError as error:
                self._record_loss("probe", error)
                continue
            if era is not None and self._replica.log.is_behind(era):
                self._expect_restored_state()
                continue
            self._replica.contact.record_answer(sent_ms)
            if self._is_lost:
                self._end_watches()
            self._confirm_state()

    @_restarts.restart_on_error
    async def _follow(self, kind: _stores.StateKind) -> None:
        """Lists one kind of state if necessary, then watches it."""
        # After an error the state of this kind may lack changes.
        self._confirmed.discard(kind)
        backoff_ms = _FIRST_BACKOFF_MS
        must_list = self._replica.log.position(kind) is None
        while True:
            sent_ms = self._clock.now_ms()
            try:
                listing = await self._call(kind, must_list)
            except _errors.HistoryGoneError as error:
                base.log_event(
                    _logger, "history-gone", kind=kind.value, error=error
                )
                must_list = True
                continue
            except _WatchFailedError as error:
                await self._delay_watch(kind, error)
                continue
            except base.PlatformError as error:
                self._record_loss(kind.value, error)
                await self._clock.sleep_ms(backoff_ms * random.uniform(0.5, 1))
                backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2)
                continue
            if listing is None:  # A probe found the store available again.
                continue
            must_list = not listing.is_whole and self._replica.log.is_restored(
                kind, listing
            )
            if must_list:
                self._expect_restored_state()
                continue
            await self._ask_others()
            self._record_answer(kind, sent_ms)
            if not self._replica.apply_listing(kind, listing):
                await self._clock.sleep_ms(backoff_ms)
                backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2)
                continue
            backoff_ms = _FIRST_BACKOFF_MS
            self._confirm_state()
            if listing.items:
                await self._clock.sleep_ms(_BURST_DELAY_MS[kind])

    async def _call(
        self, kind: _stores.StateKind, must_list: bool
    ) -> _stores.StateListing | None:
        """Lists or watches a kind; returns None if a watch was cancelled.

        Raises:
          _WatchFailedError: A long watch got no answer.
          HistoryGoneError: The store no longer has the revision.
          PlatformError: The store does not answer.
        """
        position = self._replica.log.position(kind)
        if must_list or position is None:
            return await self._store.list_objects(kind)
        # After a loss, a short watch soon shows that the store answers again.
        is_long = kind in self._confirmed
        wait_ms = _WATCH_WAIT_MS[kind] if is_long else _RECOVERY_WATCH_WAIT_MS
        task = asyncio.ensure_future(
            self._store.watch(kind, position.revision, wait_ms)
        )
        self._watches[kind] = _Watch(task, is_long)
        try:
            await asyncio.wait((task,))
        finally:
            del self._watches[kind]
            task.cancel()
        if task.cancelled():
            return None
        try:
            listing = task.result()
        except base.PlatformError as error:
            if not is_long or isinstance(error, _errors.HistoryGoneError):
                raise
            raise _WatchFailedError(str(error), step="watch") from error
        if is_long:
            self._watch_delays_ms.pop(kind, None)
        return listing

    async def _delay_watch(
        self, kind: _stores.StateKind, error: _WatchFailedError
    ) -> None:
        """Waits before a failed watch is repeated, the first time not at all.

        Whether the store is lost shows on the next call, which it answers at
        once.
        """
        self._confirmed.discard(kind)
        base.log_event(_logger, "watch-failed", kind=kind.value, error=error)
        delay_ms = self._watch_delays_ms.get(kind, 0.0)
        self._watch_delays_ms[kind] = min(
            _MAX_BACKOFF_MS, max(_FIRST_BACKOFF_MS, 2 * delay_ms)
        )
        await self._clock.sleep_ms(delay_ms * random.uniform(0.5, 1))

    def _expect_restored_state(self) -> None:
        """Lets all kinds find out that the store was restored."""
        self._confirmed.clear()
        self._end_watches()

    def _end_watches(self) -> None:
        """Cancels long watches.

        A network cut may delay their answers, and a restored store does not
        answer what they wait for.
        """
        for watch in self._watches.values():
            if watch.is_long:
                watch.task.cancel()

    def _record_loss(self, step: str, error: base.PlatformError) -> None:
        self._confirmed.clear()
        if not self._is_lost:
            self._lost_ms = self._clock.now_ms()
            self._last_contact_ms = self._replica.contact.answered_ms
            self._others_asked_ms = float("-inf")
            base.log_event(
                _logger, "store-lost", logging.WARNING, step=step, error=error
            )
        self._is_lost = True

    async def _ask_others(self) -> None:
        """Asks other hosts whether the store answered them during a loss."""
        async with self._asking:
            now_ms = self._clock.now_ms()
            is_recent = now_ms - self._others_asked_ms < _contacts.MAX_GAP_MS
            if not self._is_lost or is_recent:
                return
            self._others_asked_ms = now_ms
            messages = await self._ask_watchers()
            now_ms = self._clock.now_ms()
            self._others_reached_ms = min(
                (now_ms - m.reached_ms for m in messages if m.reached_ms > 0.0),
                default=float("inf"),
            )

    def _record_answer(self, kind: _stores.StateKind, sent_ms: float) -> None:
        self._confirmed.add(kind)
        self._replica.contact.record_answer(sent_ms)
        if self._is_lost and self._may_have_lapsed():
            self._replica.start_grace_period()
        if self._is_lost and self._confirmed >= _REQUIRED_KINDS:
            self._is_lost = False
            base.log_event(
                _logger, "store-regained", outage=self._may_have_lapsed()
            )

    def _may_have_lapsed(self) -> bool:
        """Whether registrations may have lapsed, as all had lost the store.

        Otherwise servers could renew them, and those that ended are gone.
        """
        is_reached = self._others_reached_ms <= self._last_contact_ms
        return not is_reached and not self._was_confirmed_by_others()

    def _was_confirmed_by_others(self) -> bool:
        """Whether others' states cover the greater part of the loss.

        Hosts of earlier versions do not tell since when they reach the store.
        """
        age_ms = self._replica.age_ms
        known_ms = self._replica.confirmed_ms - self._lost_ms
        return age_ms < min(known_ms, _contacts.MAX_GAP_MS)

    def _confirm_state(self) -> None:
        if self._confirmed >= _REQUIRED_KINDS:
            self._replica.confirmed_ms = max(
                self._replica.confirmed_ms,
                self._replica.contact.answered_ms,
            )


async def _ask_nobody() -> list[_replicas.StateMessage]:
    return []


def create_store_watcher(
    store: _stores.StateStore,
    replica: _replicas.StateReplica,
    clock: base.Clock,
    ask_watchers: AskWatchers = _ask_nobody,
) -> StoreWatcher:
    """Creates a watcher that is not started.

    Args:
      store: The platform's store.
      replica: The state that the watcher keeps current.
      clock: The clock of the process.
      ask_watchers: Asks other hosts that watch the store.
    """
    return StoreWatcher(store, replica, clock, ask_watchers)
