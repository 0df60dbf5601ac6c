"""Merges the results of shards into partial answers."""

import heapq
from collections.abc import Callable, Iterable

import cowslipvalve_model as model


def merge_hits(hits: Iterable[model.Hit], count: int) -> tuple[model.Hit, ...]:
    """Returns the best hits, best first; ties have a deterministic order."""
    best = heapq.nsmallest(
        count, hits, key=lambda hit: (-hit.score, hit.shard, hit.id)
    )
    return tuple(best)


class QueryCollector:
    """Collects the shard results of one query at the home that runs it."""

    def __init__(
        self,
        query: model.HomeQuery,
        emit: Callable[[model.PartialAnswer], None],
    ) -> None:
        self.query = query
        self._emit = emit
        self._results: list[model.ShardResult] = []
        self._hits: list[model.Hit] = []
        self._remaining_results = sum(
            len(target.indices) for target in query.targets
        )
        self.cancelled = False

    @property
    def is_done(self) -> bool:
        """Whether every shard has a result."""
        return self._remaining_results == 0

    def add(
        self, result: model.ShardResult, hits: tuple[model.Hit, ...] = ()
    ) -> None:
        """Adds the result of one shard; after the last shard, calls flush."""
        self._remaining_results -= 1
        self._results.append(result)
        self._hits.extend(hits)
        if self.is_done:
            self.flush()

    def flush(self) -> None:
        """Emits the results since the last flush, unless cancelled."""
        if not self._results or self.cancelled:
            return
        partial = model.PartialAnswer(
            self.query.query_id,
            self.query.snapshot,
            tuple(self._results),
            merge_hits(self._hits, self.query.top_hits),
        )
        self._results = []
        self._hits = []
        self._emit(partial)


def create_query_collector(
    query: model.HomeQuery, emit: Callable[[model.PartialAnswer], None]
) -> QueryCollector:
    """Returns a collector that passes partial answers to the function emit."""
    return QueryCollector(query, emit)
