"""Keeps this host's state current, from other hosts or from the store.

A few hosts of each failure domain, the watchers, watch the store. The other
hosts poll a watcher, about twice a second. A host that finds no watcher with
fresh state watches the store itself until such a watcher is available again.
"""

import asyncio
import logging
import math
import random

import mode

import cowslipvalve_base as base
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _replicas
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _restarts
from cowslipvalve_gateway import _statecomparisons
from cowslipvalve_gateway import _statefetches
from cowslipvalve_gateway import _statesources
from cowslipvalve_gateway import _watchers

_LONG_POLL_MS = 500
_SEED_STARTUP_MS = 600.0  # All hosts of a deployment start within 0.3 s.
_SEED_RETRY_MS = 60.0
_SOURCE_RETRY_MS = 400.0
# A watcher that was paused confirms its state within this time. Otherwise all
# that follow it would list the store at once.
_WATCHER_RECOVERY_MS = 300.0
# Watchers reconnect to the store within one probe.
_STORE_RECOVERY_DELAY_MS = 1_500.0
_WATCH_CHECK_MS = 500.0
# Each change of source costs several calls.
_SOURCE_SEARCH_INTERVAL_MS = 3_000.0
_NEAR_SOURCE_RETRY_MS = 5_000.0
# How many watchers tell whether the store answered them. One that it answered
# suffices.
_MAX_WITNESSES = 3
_REGISTRATION_CHECK_MS = 500.0
# A new record is known to its host within this time.
_REGISTRATION_DELAY_MS = 6_000.0
_FIRST_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 2_000.0

_logger = logging.getLogger(__name__)


class StateFollower(mode.Service):
    """Follows a source of fresh state, preferably in its own domain."""

    def __init__(
        self,
        sources: _statesources.StateSources,
        replica: _replicas.StateReplica,
        own: _resources.HostRecord,
        clock: base.Clock,
    ) -> None:
        super().__init__()
        self._sources = sources
        self._replica = replica
        self._own = own
        self._clock = clock
        self._fetches = _statefetches.create_state_fetches(sources, replica)
        self._comparison = _statecomparisons.create_state_comparison(
            sources, replica, self._fetches, clock
        )
        self._started_ms = clock.now_ms()
        # A start counts as a return: the regular watchers go first.
        self._store_lost_ms = clock.now_ms()
        self._near_searched_ms = float("-inf")
        # Whether the last search found a near watcher without fresh state.
        self._has_stale_watcher = False
        self._has_left = False

    @_restarts.restart_on_error
    async def unregister(self) -> None:
        """Removes this host's record, which frees its share of the limits.

        Tries again until the store has answered or the call is cancelled.
        """
        self._has_left = True
        self._replica.catalog.own_registered_ms = math.inf
        backoff_ms = _FIRST_BACKOFF_MS
        while True:
            try:
                await self._sources.store.unregister_host(self._own.name)
                return
            except base.PlatformError as error:
                base.log_event(
                    _logger, "unregister-failed", logging.WARNING, error=error
                )
            await self._clock.sleep_ms(backoff_ms)
            backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2)

    @mode.Service.task
    @_restarts.restart_on_error
    async def _register(self) -> None:
        """Registers this host, so that the others count and can query it.

        Again whenever the store was restored, which may lack the record, and
        if the record was taken away, as this host was lost for long.
        """
        await self._register_anew()
        era = self._replica.log.era
        known_ms = self._clock.now_ms()
        while not self.should_stop:
            await self._clock.sleep_ms(_REGISTRATION_CHECK_MS)
            hosts = self._replica.catalog.hosts
            if not hosts or self._own.name in hosts or self._has_left:
                known_ms = self._clock.now_ms()
            if self._clock.now_ms() - known_ms >= _REGISTRATION_DELAY_MS:
                base.log_event(_logger, "record-missing", logging.WARNING)
                await self._register_anew()
                known_ms = self._clock.now_ms()
            elif 0 <= era < self._replica.log.era:
                await self._register_once()
            era = self._replica.log.era

    async def _register_anew(self) -> None:
        """Writes the record of this host, which the others may not count."""
        if await self._register_once():
            now_ms = self._clock.now_ms()
            self._replica.catalog.own_registered_ms = now_ms

    async def _register_once(self) -> bool:
        """Writes the record of this host; returns whether there was none."""
        backoff_ms = _FIRST_BACKOFF_MS
        is_new = False
        while not self.should_stop and not self._has_left:
            try:
                is_new |= await self._sources.store.register_host(self._own)
                return is_new
            except base.PlatformError as error:
                is_new = True  # The call may have taken effect.
                base.log_event(
                    _logger, "register-failed", logging.WARNING, error=error
                )
            await self._clock.sleep_ms(backoff_ms)
            backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2)
        return False

    @mode.Service.task
    @_restarts.restart_on_error
    async def _compare(self) -> None:
        await self._comparison.run()

    @mode.Service.task
    @_restarts.restart_on_error
    async def _follow(self) -> None:
        source = None
        while not self.should_stop:
            if self._is_watcher():
                source = await self._watch("chosen")
                continue
            source = source or await self._find_source()
            if source is None and self._has_stale_watcher:
                await self._clock.sleep_ms(_WATCHER_RECOVERY_MS)
                source = await self._find_source()
            if source is not None:
                await self._follow_host(source)
                source = None
            elif self._may_wait_for_seeds():
                await self._clock.sleep_ms(_SEED_RETRY_MS)
            elif not self._replica.catalog.is_complete:
                source = await self._watch("no state yet")
            elif await self._can_watch_as_substitute():
                source = await self._watch("no host has fresh state")
            else:
                await self._clock.sleep_ms(_SOURCE_RETRY_MS)

    def _is_watcher(self) -> bool:
        return self._sources.choice.is_watcher(
            self._replica.catalog.present_hosts
        )

    def _near_sources(self) -> list[str]:
        return self._sources.choice.near_sources(
            self._replica.catalog.present_hosts
        )

    def _may_wait_for_seeds(self) -> bool:
        """Whether no host is known yet and the seeds may still be starting."""
        if self._replica.catalog.hosts or not self._sources.choice.seeds:
            return False
        waited_ms = self._clock.now_ms() - self._started_ms
        return waited_ms < _SEED_STARTUP_MS

    async def _can_watch_as_substitute(self) -> bool:
        """Whether this host can reach the store and may watch it itself."""
        try:
            await self._sources.store.probe(_watchers.PROBE_TIMEOUT_MS)
        except base.PlatformError as error:
            base.log_event(
                _logger, "store-unreachable", logging.WARNING, error=error
            )
            self._store_lost_ms = self._clock.now_ms()
            return False
        # After an outage the regular watchers go first, because all hosts at
        # once would cost the store more calls than the outage saved.
        lost_for_ms = self._clock.now_ms() - self._store_lost_ms
        return lost_for_ms > _STORE_RECOVERY_DELAY_MS

    async def _watch(self, reason: str) -> str | None:
        """Watches the store until another host can; returns its address."""
        base.log_event(_logger, "watching-store", reason=reason)
        watcher = _watchers.create_store_watcher(
            self._sources.store,
            self._replica,
            self._clock,
            self._ask_watchers,
        )
        task = asyncio.ensure_future(watcher.run())
        try:
            return await self._wait_for_other_source(task)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _ask_watchers(self) -> list[_replicas.StateMessage]:
        """Returns the messages of some other watchers, without their state."""
        others = self._sources.choice.other_watchers(
            self._replica.catalog.present_hosts
        )
        chosen = random.sample(others, min(len(others), _MAX_WITNESSES))
        found = await asyncio.gather(*map(self._fetches.fetch_age, chosen))
        return [message for message in found if message is not None]

    async def _wait_for_other_source(
        self, task: asyncio.Future[None]
    ) -> str | None:
        searched_ms = self._clock.now_ms()
        while True:
            await asyncio.wait(
                (task,), timeout=base.to_seconds(_WATCH_CHECK_MS)
            )
            if task.done():
                task.result()  # Raises the error that ended the watcher.
            is_stale = self._replica.age_ms > _statefetches.MAX_FRESH_AGE_MS
            is_watcher = self._is_watcher()
            waited_ms = self._clock.now_ms() - searched_ms
            if not is_stale and (
                is_watcher or waited_ms < _SOURCE_SEARCH_INTERVAL_MS
            ):
                continue
            searched_ms = self._clock.now_ms()
            source = await self._find_source()
            if source is not None and is_watcher:
                await self._fetches.fetch_once(source)
            elif source is not None:
                return source

    async def _find_source(self) -> str | None:
        """Queries all candidates at once; returns one with fresh state.

        A host without complete state fetches even stale state from another.
        """
        near = self._near_sources()
        far = self._sources.choice.far_sources(
            self._replica.catalog.present_hosts
        )
        self._near_searched_ms = self._clock.now_ms()
        answers = await self._query_candidates(near, far)
        self._has_stale_watcher = any(
            address in near and not _is_fresh(message)
            for address, message in answers.items()
        )
        fresh = [a for a, message in answers.items() if _is_fresh(message)]
        if fresh:
            return min(fresh, key=lambda address: address not in near)
        if answers and not self._replica.catalog.is_complete:
            await self._fetches.fetch_once(
                min(answers, key=lambda a: answers[a].age_ms)
            )
        return None

    async def _query_candidates(
        self, near: list[str], far: list[str]
    ) -> dict[str, _replicas.StateMessage]:
        """Queries hosts until a near host answers with fresh state.

        A fresh far host suffices once all near hosts have answered. Returns
        the answers by address.
        """
        asked = {
            asyncio.ensure_future(self._fetches.fetch_age(address)): address
            for address in dict.fromkeys((*near, *far))
        }
        answers: dict[str, _replicas.StateMessage] = {}
        pending = set(asked)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                message = task.result()
                if message is not None:
                    answers[asked[task]] = message
            fresh = {a for a, m in answers.items() if _is_fresh(m)}
            is_near_known = not any(asked[task] in near for task in pending)
            if fresh and (is_near_known or not fresh.isdisjoint(near)):
                break
        for task in pending:
            task.cancel()
        return answers

    async def _follow_host(self, source: str) -> None:
        """Polls a host until it fails, is stale, or a nearer one may exist."""
        base.log_event(
            _logger,
            "following",
            peer=source,
            age_ms=round(self._replica.age_ms),
        )
        while not self.should_stop and not self._is_watcher():
            try:
                message = await self._sources.hosts.fetch(
                    source,
                    self._replica.log.positions,
                    _LONG_POLL_MS,
                    _statefetches.FETCH_TIMEOUT_MS,
                )
            except _errors.HostUnavailableError as error:
                base.log_event(
                    _logger, "source-lost", logging.WARNING, error=error
                )
                return
            self._replica.apply_message(message)
            self._replica.catalog.presence.adopt(message.absent)
            await self._fetches.take_newer(source, message)
            if not _is_fresh(message):
                base.log_event(
                    _logger,
                    "source-stale",
                    logging.WARNING,
                    peer=source,
                    watching=message.is_watching,
                    age_ms=round(message.age_ms),
                )
                return
            if self._should_search_near(source):
                return

    def _should_search_near(self, source: str) -> bool:
        since_search_ms = self._clock.now_ms() - self._near_searched_ms
        near = self._near_sources()
        return (
            bool(near)
            and source not in near
            and since_search_ms > _NEAR_SOURCE_RETRY_MS
        )


def _is_fresh(message: _replicas.StateMessage) -> bool:
    return (
        message.is_watching and message.age_ms <= _statefetches.MAX_FRESH_AGE_MS
    )


def create_state_follower(
    sources: _statesources.StateSources,
    replica: _replicas.StateReplica,
    own: _resources.HostRecord,
    clock: base.Clock,
) -> StateFollower:
    """Creates the service that keeps a replica current."""
    return StateFollower(sources, replica, own, clock)
