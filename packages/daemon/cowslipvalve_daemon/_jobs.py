"""Jobs and the job queue of one backend server."""

from collections.abc import Collection

import attrs

import cowslipvalve_model as model
from cowslipvalve_daemon import _partials


@attrs.define(eq=False)
class ShardJob:
    """One shard query that is queued for or running on a server."""

    # Holds the query that the job belongs to and receives its result.
    collector: _partials.QueryCollector
    # The name of the target server.
    server: str
    # The shard query as sent to the server.
    query: model.ShardQuery
    # The deadline of the query on this host's clock, in ms.
    deadline_ms: float

    @property
    def fingerprint(self) -> str:
        """The fingerprint of the query's body."""
        return self.collector.query.fingerprint

    @property
    def is_trusted(self) -> bool:
        """Whether the body is known not to crash servers."""
        return self.collector.query.trusted

    @property
    def is_suspect(self) -> bool:
        """Whether the body may crash servers, so that the job runs alone."""
        return self.collector.query.suspect

    def finish(
        self,
        outcome: model.Outcome,
        reason: model.Reason = model.Reason.NONE,
        total: int = 0,
        hits: tuple[model.Hit, ...] = (),
        alone: bool = False,
    ) -> None:
        """Passes the job's result to the collector.

        Args:
          outcome: Whether the server ran the query.
          reason: Why the query was not answered.
          total: The number of matches in the shard.
          hits: The best hits of the shard.
          alone: Whether nothing else ran on the server at the same time.
        """
        result = model.ShardResult(
            self.query.index, self.server, outcome, reason, total, alone
        )
        self.collector.add(result, hits)


@attrs.define(eq=False)
class OrderJob:
    """An order that is waiting for or running on a server."""

    # The order as sent to the server.
    order: model.ServerOrder
    # The fingerprint of the order's body.
    fingerprint: str
    # The deadline of the order on this host's clock, in ms.
    deadline_ms: float


class JobQueue:
    """The FIFO queue of the jobs that wait for one server."""

    def __init__(self) -> None:
        self._jobs: list[ShardJob] = []

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: ShardJob) -> None:
        """Appends a job."""
        self._jobs.append(job)

    def drop_cancelled(self) -> None:
        """Removes the jobs of cancelled queries, which get no result."""
        self._jobs = [job for job in self._jobs if not job.collector.cancelled]

    def refuse_expired(self, now_ms: float) -> None:
        """Finishes the jobs whose deadline has passed as not run."""
        expired = [job for job in self._jobs if job.deadline_ms <= now_ms]
        if not expired:
            return
        self._jobs = [job for job in self._jobs if job.deadline_ms > now_ms]
        for job in expired:
            job.finish(model.Outcome.NOT_RUN, model.Reason.DEADLINE)

    def refuse_all(self, reason: model.Reason) -> None:
        """Finishes all queued jobs as not run, with the given reason."""
        jobs, self._jobs = self._jobs, []
        for job in jobs:
            job.finish(model.Outcome.NOT_RUN, reason)

    def refuse_body(self, fingerprint: str) -> None:
        """Refuses all queued jobs with the given body.

        Called after the connection to the server was lost while the server ran
        that body.
        """
        refused = [j for j in self._jobs if j.fingerprint == fingerprint]
        self._jobs = [j for j in self._jobs if j.fingerprint != fingerprint]
        for job in refused:
            job.finish(model.Outcome.NOT_RUN, model.Reason.QUARANTINED)

    def find_next(self, running_untrusted: Collection[str]) -> ShardJob | None:
        """Returns the first job that may start.

        Args:
          running_untrusted: The fingerprints of the running bodies that are
            not known to be harmless. Such a body runs only once at a time, so
            that it crashes one server only.
        """
        for job in self._jobs:
            if job.is_trusted or job.fingerprint not in running_untrusted:
                return job
        return None

    def take(
        self, count: int, running_untrusted: Collection[str]
    ) -> list[ShardJob]:
        """Removes and returns the first jobs that may start.

        A suspect job is returned only as a batch of its own.

        Args:
          count: The maximum number of jobs.
          running_untrusted: See find_next.
        """
        taken: list[ShardJob] = []
        untrusted = set(running_untrusted)
        while len(taken) < count:
            job = self.find_next(untrusted)
            if job is None or (taken and job.is_suspect):
                break
            self._jobs.remove(job)
            taken.append(job)
            if not job.is_trusted:
                untrusted.add(job.fingerprint)
            if job.is_suspect:
                break
        return taken


def create_job_queue() -> JobQueue:
    """Returns an empty job queue."""
    return JobQueue()
