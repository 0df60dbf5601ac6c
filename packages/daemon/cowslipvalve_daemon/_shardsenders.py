"""Sends the shards of one caller's read request to the homes of servers."""

import abc
import itertools
from collections.abc import Iterable, Iterator

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _runstates

RETRY_DELAY_MS = 40  # For a shard without another replica to try.
_QUERY_NUMBERS = itertools.count(1)


class ShardSender(abc.ABC):
    """Keeps the state of the shards of one request and of its queries."""

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
        self._context = context
        self._spec = search.spec
        self._view = view
        self._request_id = request_id
        self._body = body
        self._fingerprint = fingerprint
        self._deadline_ms = deadline_ms
        self._shards = {
            index: _runstates.ShardState(index) for index in indices
        }
        self._sent_queries: dict[str, _runstates.SentQuery] = {}

    @property
    def coverage(self) -> model.Coverage:
        """Which of the requested shards have answered."""
        missing = tuple(
            sorted(s.index for s in self._shards.values() if not s.is_answered)
        )
        return model.Coverage(
            answered=len(self._shards) - len(missing),
            total=len(self._shards),
            missing=missing,
        )

    def describe_missing(self) -> Iterator[str]:
        """Describes the shards that have not answered, for a log line.

        Each text has the shard, why its last attempt failed, its retries and
        the servers that were tried since the last one.
        """
        for shard in self._shards.values():
            if not shard.is_answered:
                servers = "+".join(sorted(shard.tried_servers))
                yield (
                    f"{shard.index}:{shard.reason}:{shard.budgeted_retries}:"
                    f"{servers}"
                )

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have run any part of the request."""
        return any(
            shard.may_have_run or shard.is_answered or shard.pending_query_ids
            for shard in self._shards.values()
        )

    @property
    def reason(self) -> model.Reason:
        """Why the first missing shard is missing, NONE if all have answered."""
        for shard in self._shards.values():
            if not shard.is_answered:
                return (
                    model.Reason.DEADLINE
                    if shard.pending_query_ids
                    else shard.reason
                )
        return model.Reason.NONE

    @abc.abstractmethod
    def handle_partial(self, partial: model.PartialAnswer) -> None:
        """Records the shard results of a partial answer from a home."""

    def _choose_replica(
        self, shard: _runstates.ShardState
    ) -> _replicas.Replica | None:
        return self._context.directory.choose(
            self._view.servers.get(shard.index, ()), shard.tried_servers
        )

    async def _send_shards(
        self, shards: Iterable[_runstates.ShardState]
    ) -> int:
        """Sends shards to their replicas, one query to each home.

        Returns:
          The number of shards that were sent.
        """
        by_home: dict[str, dict[str, list[int]]] = {}
        count = 0
        for shard in shards:
            replica = self._choose_replica(shard)
            if replica is None:
                if self._view.servers.get(shard.index):
                    shard.retry_at_ms = (
                        self._context.clock.now_ms() + RETRY_DELAY_MS
                    )
                continue
            servers = by_home.setdefault(replica.home, {})
            servers.setdefault(replica.server, []).append(shard.index)
            count += 1
        suspect = self._context.quarantine.is_suspect(self._fingerprint)
        for home, servers in by_home.items():
            await self._send(home, servers, suspect)
        return count

    async def _send(
        self,
        home: str,
        servers: dict[str, list[int]],
        suspect: bool,
    ) -> None:
        now_ms = self._context.clock.now_ms()
        query = model.HomeQuery(
            query_id=str(next(_QUERY_NUMBERS)),
            request_id=self._request_id,
            snapshot=self._view.snapshot,
            fingerprint=self._fingerprint,
            body=self._body,
            remaining_ms=self._deadline_ms - now_ms,
            top_hits=self._spec.top_hits,
            targets=tuple(
                model.QueryTarget(server, tuple(indices))
                for server, indices in servers.items()
            ),
            suspect=suspect,
            trusted=self._context.quarantine.is_harmless(self._fingerprint),
        )
        indices = {index for group in servers.values() for index in group}
        for server, group in servers.items():
            for index in group:
                shard = self._shards[index]
                shard.pending_query_ids.add(query.query_id)
                shard.tried_servers.add(server)
                shard.retry_at_ms = None
            self._context.directory.add_outstanding(server, len(group))
        stream = await self._context.streams.get(home)
        self._sent_queries[query.query_id] = _runstates.SentQuery(
            query, stream, now_ms, indices
        )
        stream.send(query, self)

    def _cancel_answered_queries(self) -> None:
        """Cancels queries whose shards were all answered by other queries."""
        for query_id, sent in list(self._sent_queries.items()):
            if all(
                self._shards[index].is_answered for index in sent.unanswered
            ):
                sent.stream.cancel(query_id)
                self._record_unanswered_latency(sent)
                self._release_outstanding(sent, sent.unanswered)
                del self._sent_queries[query_id]

    def _record_unanswered_latency(self, sent: _runstates.SentQuery) -> None:
        """Records the time that servers have taken so far without an answer."""
        latency_ms = self._context.clock.now_ms() - sent.sent_ms
        for target in sent.query.targets:
            if sent.unanswered.intersection(target.indices):
                self._context.directory.add_latency(target.server, latency_ms)

    def _release_outstanding(
        self, sent: _runstates.SentQuery, indices: set[int]
    ) -> None:
        """Removes shards of a query from the counts of outstanding queries."""
        for target in sent.query.targets:
            count = len(indices.intersection(target.indices, sent.unanswered))
            if count:
                self._context.directory.add_outstanding(target.server, -count)
        sent.unanswered -= set(indices)

    def _has_answer(self) -> bool:
        return any(shard.is_answered for shard in self._shards.values())
