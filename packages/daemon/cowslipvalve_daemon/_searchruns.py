"""Runs one caller's read request against the homes of the shard servers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Iterable

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _failurereasons
from cowslipvalve_daemon import _partials
from cowslipvalve_daemon import _runstates
from cowslipvalve_daemon import _shardsenders

# If a larger share of the shards is late, the cause is high load and not one
# slow server.
_MAX_STRAGGLER_SHARE = 0.2
_MAX_HEDGE_DEFERRALS = 3
# Turns of the event loop after which an answer that has arrived is handled: it
# is polled for, read, and its reader wakes up.
_ARRIVAL_TURNS = 3
_MAX_BUDGETED_RETRIES = 2  # Per shard of a request.
_MAX_CANARY_SERVERS = 2  # A body may crash only this many servers.


class SearchRun(_shardsenders.ShardSender):
    """Collects the shard results of one request from one snapshot."""

    def __init__(
        self,
        context: _runstates.SearchContext,
        search: model.Search,
        view: policy.SnapshotView,
        indices: Iterable[int],
        request_id: str,
        body: object,
        fingerprint: str,
        deadline_ms: float,
    ) -> None:
        super().__init__(
            context,
            search,
            view,
            indices,
            request_id,
            body,
            fingerprint,
            deadline_ms,
        )
        self._search_name = search.metadata.name
        self._fan_out_ms = context.clock.now_ms()
        self._updated = asyncio.Event()
        self._hits: tuple[model.Hit, ...] = ()
        self._total_hits = 0
        # The servers whose answers to the body were lost.
        self._lost_servers: set[str] = set()
        self._hedge_at_ms = float("inf")
        self._hedge_deferrals = 0
        self._quarantine_publication: Awaitable[None] | None = None
        self.is_quarantined = False
        self.is_snapshot_gone = False

    @property
    def hits(self) -> tuple[model.Hit, ...]:
        """The best hits of the shards that have answered."""
        return self._hits

    @property
    def total_hits(self) -> int:
        """The number of matches in the shards that have answered."""
        return self._total_hits

    async def run(self) -> None:
        """Queries all shards until further waiting cannot or need not help.

        The queries that are still running then are cancelled.
        """
        try:
            if not self._needs_canary() or await self._run_canary():
                await self._run_fan_out()
            if self._quarantine_publication is not None:
                await self._quarantine_publication
        finally:
            for query_id, sent in self._sent_queries.items():
                sent.stream.cancel(query_id)
                self._record_unanswered_latency(sent)
                self._release_outstanding(sent, sent.unanswered)

    def handle_partial(self, partial: model.PartialAnswer) -> None:
        """Records the shard results of a partial answer from a home."""
        sent = self._sent_queries.get(partial.query_id)
        if sent is None:
            return
        accepted = set()
        finished = set()
        for result in partial.results:
            if result.index not in sent.unanswered:
                continue
            finished.add(result.index)
            if self._handle_result(sent, result):
                accepted.add(result.index)
        self._release_outstanding(sent, finished)
        if not sent.unanswered:
            del self._sent_queries[partial.query_id]
        if accepted:
            new_hits = (hit for hit in partial.hits if hit.shard in accepted)
            self._hits = _partials.merge_hits(
                (*self._hits, *new_hits), self._spec.top_hits
            )
            self._cancel_answered_queries()
        self._updated.set()

    def _handle_result(
        self, sent: _runstates.SentQuery, result: model.ShardResult
    ) -> bool:
        """Records the result of one shard.

        Returns:
          Whether this is the shard's first answer, so that its hits count.
        """
        shard = self._shards[result.index]
        shard.pending_query_ids.discard(sent.query.query_id)
        if result.outcome is model.Outcome.ANSWERED:
            latency_ms = self._context.clock.now_ms() - sent.sent_ms
            self._context.latencies.add(latency_ms)
            self._context.directory.add_latency(result.server, latency_ms)
            self._context.quarantine.record_answer(self._fingerprint)
            if shard.is_answered:
                return False
            shard.is_answered = True
            self._total_hits += result.total
            return True
        self._context.count_failure(result.reason)
        shard.reason = result.reason
        if result.outcome is model.Outcome.UNKNOWN:
            shard.may_have_run = True
        if result.reason in _failurereasons.LOSS_REASONS:
            self._lost_servers.add(result.server)
        if result.reason in _failurereasons.CRASH_REASONS:
            self._record_connection_loss(
                result, result.alone or sent.query.suspect
            )
        if result.reason is model.Reason.SNAPSHOT_UNAVAILABLE:
            self._check_snapshot_gone(shard)
        if not shard.is_answered and not shard.pending_query_ids:
            shard.retry_at_ms = self._context.clock.now_ms()
        return False

    def _record_connection_loss(
        self, result: model.ShardResult, alone: bool
    ) -> None:
        self._lost_servers.add(result.server)
        is_proven = self._context.quarantine.record_connection_loss(
            self._fingerprint, result.server, alone
        )
        if is_proven and not self.is_quarantined:
            self.is_quarantined = True
            self._quarantine_publication = self._context.quarantine.publish(
                self._search_name, self._fingerprint
            )

    def _check_snapshot_gone(self, shard: _runstates.ShardState) -> None:
        servers = set(self._view.servers.get(shard.index, ()))
        if servers <= shard.tried_servers:
            self.is_snapshot_gone = True

    def _needs_canary(self) -> bool:
        if not self._spec.canary:
            return False
        return not self._context.quarantine.is_harmless(self._fingerprint)

    async def _run_canary(self) -> bool:
        """Tries the body on one or two servers before the fan-out.

        The order of the servers depends only on the body, so that requests
        with the same body that callers resend through other hosts reach the
        same two servers.

        Returns:
          Whether a server has answered the body.
        """
        ranked = self._rank_canaries()
        while not self._has_answer():
            if self.is_quarantined or self._is_past_deadline():
                return False
            used_servers = len(self._lost_servers) + len(self._sent_queries)
            if used_servers < _MAX_CANARY_SERVERS and ranked:
                await self._send_canary(*ranked.pop(0))
            elif not self._sent_queries:
                if self._lost_servers:
                    return False
                await self._context.clock.sleep_ms(_shardsenders.RETRY_DELAY_MS)
                ranked = self._rank_canaries()
            await self._wait_until(self._canary_wait_end_ms())
        return True

    def _rank_canaries(self) -> list[tuple[int, str]]:
        by_server = {
            server: index
            for index in sorted(self._shards, reverse=True)
            for server in self._view.servers.get(index, ())
        }
        ranked = policy.rank_names(by_server, self._fingerprint)
        return [(by_server[server], server) for server in ranked]

    async def _send_canary(self, index: int, server: str) -> None:
        replica = self._context.directory.find_replica(server)
        if replica is None:
            return
        suspect = self._context.quarantine.is_suspect(self._fingerprint)
        self._context.budget.add_first_attempts(1)
        self._context.count_attempts(1, False)
        await self._send(replica.home, {server: [index]}, suspect)

    def _canary_wait_end_ms(self) -> float:
        """Returns until when to wait for the canaries that are running.

        While only the first server is running the body, this is the time at
        which a second one is tried because the first is slow.
        """
        if len(self._sent_queries) != 1 or self._lost_servers:
            return self._deadline_ms if self._sent_queries else 0.0
        delay_ms = self._context.latencies.hedge_delay_ms()
        return min(self._deadline_ms, self._context.clock.now_ms() + delay_ms)

    def _is_past_deadline(self) -> bool:
        return self._context.clock.now_ms() >= self._deadline_ms

    async def _run_fan_out(self) -> None:
        self._fan_out_ms = self._context.clock.now_ms()
        await self._send_first_attempts(
            [
                s
                for s in self._shards.values()
                if not s.is_answered and not s.pending_query_ids
            ]
        )
        if self._spec.hedge:
            self._schedule_hedge()
        while not self._is_finished():
            await self._wait_until(self._next_wake_up_ms())
            if self.is_quarantined or self.is_snapshot_gone:
                return
            if self._context.clock.now_ms() >= self._hedge_at_ms:
                self._hedge_at_ms = float("inf")
                await self._hedge()
            await self._retry()

    def _is_finished(self) -> bool:
        """Whether further waiting cannot or need not improve the answer."""
        if self._is_past_deadline():
            return True
        now_ms = self._context.clock.now_ms()
        unanswered = [
            s for s in self._shards.values() if self._may_still_answer(s)
        ]
        if not unanswered:
            return True
        patience_ms = self._spec.patience_ms
        if not patience_ms or now_ms < self._fan_out_ms + patience_ms:
            return False
        return self.coverage.share >= max(self._spec.min_coverage, 1e-9)

    def _may_still_answer(self, shard: _runstates.ShardState) -> bool:
        if shard.is_answered:
            return False
        return bool(shard.pending_query_ids) or shard.retry_at_ms is not None

    def _next_wake_up_ms(self) -> float:
        times = [self._deadline_ms, self._hedge_at_ms]
        if self._spec.patience_ms:
            patience_at_ms = self._fan_out_ms + self._spec.patience_ms
            if patience_at_ms > self._context.clock.now_ms():
                times.append(patience_at_ms)
        times.extend(
            shard.retry_at_ms
            for shard in self._shards.values()
            if shard.retry_at_ms is not None and not shard.is_answered
        )
        return min(times)

    async def _wait_until(self, time_ms: float) -> None:
        """Waits until a partial answer arrives, at most until a time.

        Answers that arrived before the time are handled first, though the event
        loop was busy.
        """
        remaining_ms = time_ms - self._context.clock.now_ms()
        with contextlib.suppress(asyncio.TimeoutError):
            if remaining_ms > 0:
                await asyncio.wait_for(
                    self._updated.wait(), model.to_seconds(remaining_ms)
                )
        if self._context.clock.now_ms() >= time_ms:
            for _ in range(_ARRIVAL_TURNS):
                await asyncio.sleep(0)
        self._updated.clear()

    async def _send_first_attempts(
        self, shards: list[_runstates.ShardState]
    ) -> None:
        """Sends the first attempts of shards, one query to each home."""
        self._context.budget.add_first_attempts(len(shards))
        sent = await self._send_shards(shards)
        self._context.count_attempts(sent, False)

    async def _hedge(self) -> None:
        """Sends each late shard to another replica, within the budget.

        Many late shards at once indicate high load rather than a slow server.
        Hedges would then add to the load and use up the budget that a later
        straggler needs, so they are deferred.
        """
        late = [
            shard
            for shard in self._shards.values()
            if not shard.is_answered
            and shard.pending_query_ids
            and not shard.is_hedged
        ]
        max_late = max(1, int(len(self._shards) * _MAX_STRAGGLER_SHARE))
        if (
            len(late) > max_late
            and self._hedge_deferrals < _MAX_HEDGE_DEFERRALS
        ):
            self._hedge_deferrals += 1
            self._schedule_hedge()
            return
        stragglers = [shard for shard in late if self._choose_replica(shard)]
        allowed = self._context.budget.take(len(stragglers))
        chosen = stragglers[:allowed]
        for shard in chosen:
            shard.is_hedged = True
        self._context.count_attempts(await self._send_shards(chosen), True)

    def _schedule_hedge(self) -> None:
        delay_ms = self._context.latencies.hedge_delay_ms()
        self._hedge_at_ms = self._context.clock.now_ms() + delay_ms

    async def _retry(self) -> None:
        """Sends failed shards to other replicas."""
        now_ms = self._context.clock.now_ms()
        due = [
            shard
            for shard in self._shards.values()
            if not shard.is_answered
            and shard.retry_at_ms is not None
            and shard.retry_at_ms <= now_ms
        ]
        chosen = [
            shard
            for shard in due
            if not self._is_exhausted(shard) and self._may_retry(shard)
        ]
        for shard in due:
            shard.retry_at_ms = None
        sent = await self._send_shards(chosen)
        self._context.count_attempts(sent, True)
        for shard in due:
            if not shard.pending_query_ids and not self._is_exhausted(shard):
                # At the next retry, the replicas may have recovered or have
                # new homes.
                shard.tried_servers.clear()
                shard.retry_at_ms = now_ms + _shardsenders.RETRY_DELAY_MS

    def _may_retry(self, shard: _runstates.ShardState) -> bool:
        if shard.reason in _failurereasons.NO_COST_REASONS:
            return True
        if shard.reason is model.Reason.NO_SERVER:
            return True
        if self._choose_replica(shard) is None:
            # No retry leaves. If all servers were tried, they are tried again
            # later; if none is usable, the shard must not wait for ever. Nor
            # may a body that servers end under return to them each time.
            if (
                not shard.tried_servers
                or shard.reason in _failurereasons.CRASH_REASONS
            ):
                shard.budgeted_retries += 1
            return False
        if self._context.budget.take(1) == 0:
            return False
        shard.budgeted_retries += 1
        return True

    def _is_exhausted(self, shard: _runstates.ShardState) -> bool:
        """Whether a shard has used up its budgeted retries.

        Without this limit, a shard whose replicas all fail would use up the
        extra-load budget that other requests need for retries and hedges.
        """
        if shard.reason in _failurereasons.NO_COST_REASONS:
            return False
        return shard.budgeted_retries >= _MAX_BUDGETED_RETRIES
