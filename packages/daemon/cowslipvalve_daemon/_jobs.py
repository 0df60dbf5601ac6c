"""Work for one backend server."""

from collections.abc import Collection

import attrs

import cowslipvalve_model as model
from cowslipvalve_daemon import _partials


@attrs.define(eq=False)
class ShardJob:
    """One shard query that waits for or runs on a server."""

    # The query and where its result goes.
    collector: _partials.QueryCollector
    # The server that is asked.
    server: str
    # The shard query as it is sent.
    query: model.ShardQuery
    # The time on this host's clock at which the answer is of no use, in ms.
    deadline_ms: float

    @property
    def fingerprint(self) -> str:
        """The name of the query's body."""
        return self.collector.query.fingerprint

    @property
    def is_trusted(self) -> bool:
        """Whether the body is known to run without harm."""
        return self.collector.query.trusted

    @property
    def is_suspect(self) -> bool:
        """Whether the job has to run alone."""
        return self.collector.query.suspect

    def finish(
        self,
        outcome: model.Outcome,
        reason: model.Reason = model.Reason.NONE,
        total: int = 0,
        hits: tuple[model.Hit, ...] = (),
        alone: bool = False,
    ) -> None:
        """Hands on what became of the job."""
        result = model.ShardResult(
            self.query.index, self.server, outcome, reason, total, alone
        )
        self.collector.add(result, hits)


@attrs.define(eq=False)
class OrderJob:
    """An order that waits for or runs on a server."""

    # The order as it is sent.
    order: model.ServerOrder
    # The name of the order's body.
    fingerprint: str
    # The time on this host's clock at which the answer is of no use, in ms.
    deadline_ms: float


class JobQueue:
    """Jobs of one server in the order in which they came."""

    def __init__(self) -> None:
        self._jobs: list[ShardJob] = []

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: ShardJob) -> None:
        """Adds a job at the end."""
        self._jobs.append(job)

    def drop_cancelled(self) -> None:
        """Forgets jobs whose answers nobody waits for."""
        self._jobs = [job for job in self._jobs if not job.collector.cancelled]

    def refuse_expired(self, now_ms: float) -> None:
        """Refuses the jobs whose deadline has passed."""
        expired = [job for job in self._jobs if job.deadline_ms <= now_ms]
        if not expired:
            return
        self._jobs = [job for job in self._jobs if job.deadline_ms > now_ms]
        for job in expired:
            job.finish(model.Outcome.NOT_RUN, model.Reason.DEADLINE)

    def refuse_all(self, reason: model.Reason) -> None:
        """Refuses all jobs."""
        jobs, self._jobs = self._jobs, []
        for job in jobs:
            job.finish(model.Outcome.NOT_RUN, reason)

    def refuse_body(self, fingerprint: str) -> None:
        """Refuses the jobs of a body that has just cost a connection."""
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
        """Returns the first jobs that may start, a suspect only by itself."""
        taken: list[ShardJob] = []
        busy = set(running_untrusted)
        while len(taken) < count:
            job = self.find_next(busy)
            if job is None or (taken and job.is_suspect):
                break
            self._jobs.remove(job)
            taken.append(job)
            if not job.is_trusted:
                busy.add(job.fingerprint)
            if job.is_suspect:
                break
        return taken


def create_job_queue() -> JobQueue:
    """Returns an empty queue."""
    return JobQueue()
