"""Coordinates callers' read requests."""

import hashlib
import logging
import time

import attrs

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _missingreports
from cowslipvalve_daemon import _quarantines
from cowslipvalve_daemon import _querystreams
from cowslipvalve_daemon import _replicas
from cowslipvalve_daemon import _runstates
from cowslipvalve_daemon import _searchruns

_LOGGER = logging.getLogger(__name__)
_DEFAULT_LATENCY_MS = 50.0
# Homes detect new shards and publish them to all hosts within this time.
_NEWER_SNAPSHOT_WAIT_MS = 600
_NEWER_SNAPSHOT_POLL_MS = 20


@attrs.frozen
class _SharedSearchState:
    """The state that all requests of one search share."""

    extra_load: float
    budget: policy.ExtraLoadBudget
    latencies: policy.LatencyWindow


def compute_shard_index(item: str, count: int) -> int:
    """Returns the index of the shard that holds an item."""
    digest = hashlib.blake2b(item.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % count


class SearchCoordinator:
    """Runs the read requests that callers send to this host."""

    def __init__(
        self,
        configurations: _configurations.ConfigurationHolder,
        directory: _replicas.ReplicaDirectory,
        streams: _querystreams.QueryStreams,
        quarantine: _quarantines.Quarantine,
        metrics: _metrics.Metrics,
        clock: model.Clock,
    ) -> None:
        self._configurations = configurations
        self._directory = directory
        self._streams = streams
        self._quarantine = quarantine
        self._metrics = metrics
        self._clock = clock
        self._missing_reports = _missingreports.create_missing_reports(clock)
        self._shared_states: dict[str, _SharedSearchState] = {}

    def find_search(self, name: str, kind: model.SearchKind) -> model.Search:
        """Returns the search of a name and kind.

        Raises:
          NotRunError: This host has no configuration yet.
          RequestError: There is no such search of that kind.
        """
        if self._configurations.current.number == 0:
            raise model.NotRunError(
                "this host has no configuration yet; retry later",
                reason=model.Reason.NO_CONFIGURATION,
                step="find-search",
            )
        search = self._configurations.current.searches.get(name)
        if search is None or search.spec.kind is not kind:
            raise model.RequestError(
                f"there is no search {name!r} of kind {kind}",
                step="find-search",
            )
        return search

    async def run(
        self, name: str, request: model.SearchRequest, request_id: str
    ) -> model.SearchAnswer | model.ErrorAnswer:
        """Runs a request and returns its answer or error answer.

        Raises:
          NotRunError: This host has no configuration, no server holds a shard,
            or the body is quarantined.
          RequestError: There is no read search of that name.
        """
        search = self.find_search(name, model.SearchKind.READ)
        start_ms = self._clock.now_ms()
        deadline_ms = start_ms + choose_deadline_ms(
            search.spec, request.deadline_ms
        )
        answer = await self._run_with_snapshot_retry(
            search, request, request_id, deadline_ms
        )
        self._report_answer(name, answer, self._clock.now_ms() - start_ms)
        return answer

    async def _run_with_snapshot_retry(
        self,
        search: model.Search,
        request: model.SearchRequest,
        request_id: str,
        deadline_ms: float,
    ) -> model.SearchAnswer | model.ErrorAnswer:
        """Runs a request on one snapshot.

        If a shard of that snapshot is gone from all its servers, the request
        runs once more on a newer snapshot.
        """
        name = search.metadata.name
        view = policy.choose_snapshot(self._directory.views(name))
        if view is None:
            raise model.NotRunError(
                "no server holds a shard of this search; retry later",
                reason=model.Reason.NO_SERVER,
                step="choose-snapshot",
            )
        run = await self._run_once(
            search, view, request, request_id, deadline_ms
        )
        if run.is_snapshot_gone:
            newer = await self._wait_for_newer_snapshot(name, view, deadline_ms)
            if newer is not None:
                view = newer
                run = await self._run_once(
                    search, newer, request, request_id, deadline_ms
                )
        answer = _create_answer(search, view, run, request_id)
        if isinstance(answer, model.ErrorAnswer):
            self._missing_reports.report(
                request_id, name, run.describe_missing()
            )
        return answer

    async def _wait_for_newer_snapshot(
        self, name: str, view: policy.SnapshotView, deadline_ms: float
    ) -> policy.SnapshotView | None:
        """Waits until the homes have published a newer snapshot.

        Returns:
          A newer snapshot with no less coverage than the given one; after the
          wait any newer snapshot, or None if there is none.
        """
        wait_end_ms = min(
            deadline_ms, self._clock.now_ms() + _NEWER_SNAPSHOT_WAIT_MS
        )
        while True:
            newer = policy.choose_snapshot(
                self._directory.views(name), newer_than=view.snapshot.number
            )
            if newer is not None and newer.coverage >= view.coverage:
                return newer
            if self._clock.now_ms() >= wait_end_ms:
                return newer
            await self._clock.sleep_ms(_NEWER_SNAPSHOT_POLL_MS)

    async def _run_once(
        self,
        search: model.Search,
        view: policy.SnapshotView,
        request: model.SearchRequest,
        request_id: str,
        deadline_ms: float,
    ) -> _searchruns.SearchRun:
        name = search.metadata.name
        fingerprint = policy.compute_fingerprint(
            name, [view.snapshot.number, request.query]
        )
        if self._quarantine.is_quarantined(fingerprint):
            raise model.NotRunError(
                "this request is quarantined: it crashed servers; change it",
                reason=model.Reason.QUARANTINED,
                step="check-quarantine",
            )
        run = _searchruns.SearchRun(
            self._create_context(search),
            search,
            view,
            _choose_indices(view, request),
            request_id,
            request.query,
            fingerprint,
            deadline_ms,
        )
        await run.run()
        return run

    def _create_context(self, search: model.Search) -> _runstates.SearchContext:
        name = search.metadata.name
        shared = self._shared_states.get(name)
        if shared is None or shared.extra_load != search.spec.extra_load:
            shared = _SharedSearchState(
                search.spec.extra_load,
                policy.create_extra_load_budget(search.spec.extra_load),
                policy.create_latency_window(self._clock, _DEFAULT_LATENCY_MS),
            )
            self._shared_states[name] = shared

        def count_attempts(count: int, is_extra: bool) -> None:
            labels = {"search": name, "extra": str(is_extra)}
            self._metrics.attempts.add(count, labels)

        def count_failure(reason: model.Reason) -> None:
            self._metrics.failures.add(1, {"reason": str(reason)})

        return _runstates.SearchContext(
            clock=self._clock,
            directory=self._directory,
            streams=self._streams,
            quarantine=self._quarantine,
            budget=shared.budget,
            latencies=shared.latencies,
            count_attempts=count_attempts,
            count_failure=count_failure,
        )

    def _report_answer(
        self,
        name: str,
        answer: model.SearchAnswer | model.ErrorAnswer,
        latency_ms: float,
    ) -> None:
        self._metrics.latency.record(latency_ms, {"search": name})
        if isinstance(answer, model.SearchAnswer):
            missing = len(answer.coverage.missing)
            self._metrics.missing_shards.add(missing, {"search": name})
        model.log_event(
            _LOGGER,
            "search",
            logging.DEBUG,
            request=answer.request_id,
            search=name,
            outcome=answer.outcome,
            reason=answer.reason,
            took_ms=round(latency_ms, 1),
        )


def choose_deadline_ms(spec: model.SearchSpec, requested_ms: int | None) -> int:
    """Returns the time limit of a request, in ms.

    Args:
      spec: The search with its default and maximum time limits.
      requested_ms: The limit that the caller asked for, None for the default.
    """
    if requested_ms is None:
        return spec.deadline_ms
    return min(requested_ms, spec.max_deadline_ms)


def create_request_id(host: str) -> str:
    """Returns a unique request id."""
    return f"{host}-{time.time_ns():x}"


def _choose_indices(
    view: policy.SnapshotView, request: model.SearchRequest
) -> tuple[int, ...]:
    """Returns the indices of the shards that a request needs."""
    count = view.snapshot.count
    if not request.items:
        return tuple(range(count))
    return tuple(
        sorted({compute_shard_index(item, count) for item in request.items})
    )


def _create_answer(
    search: model.Search,
    view: policy.SnapshotView,
    run: _searchruns.SearchRun,
    request_id: str,
) -> model.SearchAnswer | model.ErrorAnswer:
    coverage = run.coverage
    if coverage.answered and coverage.share >= search.spec.min_coverage:
        return model.SearchAnswer(
            request_id=request_id,
            outcome=model.Outcome.ANSWERED,
            search=search.metadata.name,
            snapshot=view.snapshot.number,
            coverage=coverage,
            total_hits=run.total_hits,
            hits=run.hits,
            reason=run.reason,
        )
    reason = run.reason
    if run.is_quarantined:
        reason = model.Reason.QUARANTINED
    elif coverage.answered:
        reason = model.Reason.LOW_COVERAGE
    outcome = model.Outcome.NOT_RUN
    if run.may_have_run:
        outcome = model.Outcome.UNKNOWN
    return model.ErrorAnswer(
        request_id=request_id,
        outcome=outcome,
        reason=reason,
        message=(
            f"{coverage.answered} of {coverage.total} shards answered;"
            f" shards {list(coverage.missing)[:20]} did not"
        ),
        step="gather-shards",
        retry=reason in model.RETRYABLE_REASONS,
    )


def create_search_coordinator(
    configurations: _configurations.ConfigurationHolder,
    directory: _replicas.ReplicaDirectory,
    streams: _querystreams.QueryStreams,
    quarantine: _quarantines.Quarantine,
    metrics: _metrics.Metrics,
    clock: model.Clock,
) -> SearchCoordinator:
    """Returns the search coordinator of this host."""
    return SearchCoordinator(
        configurations, directory, streams, quarantine, metrics, clock
    )
