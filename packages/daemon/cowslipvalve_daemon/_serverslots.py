"""The slots and the queue of one backend server."""

import asyncio
import math

import mode

import cowslipvalve_model as model
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _jobs
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _serverhealth

_MAX_BATCH_JOBS = 32


class ServerSlots(mode.Service):
    """Decides which requests a server gets, and when."""

    def __init__(
        self,
        server: model.BackendServer,
        memberships: _memberships.Memberships,
        configurations: _configurations.ConfigurationHolder,
        clock: model.Clock,
    ) -> None:
        super().__init__()
        self.server = server
        self.name = server.metadata.name
        self._memberships = memberships
        self._configurations = configurations
        self._clock = clock
        self._gate = policy.create_warm_up_gate(clock, server.spec.warm_up)
        self._queue = _jobs.create_job_queue()
        self._wake = asyncio.Condition()
        self._busy_slots = 0
        self._waiting_orders = 0
        self._is_exclusive = False
        self._running_untrusted: set[str] = set()
        self._service_time_ms = 5.0
        self._health = _serverhealth.create_server_health(clock)
        self._is_retired = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is running on the server."""
        return self._busy_slots > 0

    @property
    def is_retired(self) -> bool:
        """Whether the worker only finishes the requests that are running."""
        return self._is_retired

    @property
    def may_serve(self) -> bool:
        """Whether this host may send work to the server now."""
        return self._memberships.may_serve(self.name)

    async def _acquire_slot(self, deadline_ms: float) -> bool:
        """Waits for a slot and occupies it.

        Returns:
          Whether a slot was free before the deadline.
        """
        remaining_ms = deadline_ms - self._clock.now_ms()
        self._waiting_orders += 1
        try:
            async with self._wake:
                await asyncio.wait_for(
                    self._wake.wait_for(self._may_start),
                    model.to_seconds(max(0.0, remaining_ms)),
                )
                self._busy_slots += 1
        except TimeoutError:
            return False
        finally:
            self._waiting_orders -= 1
        return True

    def _has_work(self) -> bool:
        return self._queue.find_next(self._running_untrusted) is not None

    def _may_start(self) -> bool:
        slots = self.server.spec.slots
        if self._is_exclusive or self._busy_slots >= slots:
            return False
        job = self._queue.find_next(self._running_untrusted)
        if job is not None and job.is_suspect and self._busy_slots > 0:
            return False
        if self._busy_slots >= self._gate.max_concurrency(slots):
            return False
        if self._gate.delay_ms() > 0:
            return False
        return self._accepts_work() and self.may_serve

    def _accepts_work(self) -> bool:
        if self._is_retired or self._configurations.is_server_out(self.server):
            return False
        return self._health.reason is model.Reason.NONE

    def _refusal_reason(
        self, fingerprint: str, deadline_ms: float
    ) -> model.Reason:
        """Returns why a job is refused, NONE if it is accepted."""
        if self._is_retired or not self._memberships.is_preferred_home(
            self.name
        ):
            return model.Reason.NOT_HOME
        if self._configurations.is_server_out(self.server):
            return model.Reason.OUT
        if self._health.reason is not model.Reason.NONE:
            return self._health.reason
        if self._health.is_body_blocked(fingerprint):
            return model.Reason.QUARANTINED
        return self._queue_refusal_reason(deadline_ms)

    def _queue_refusal_reason(self, deadline_ms: float) -> model.Reason:
        remaining_ms = deadline_ms - self._clock.now_ms()
        if self._expected_wait_ms() < remaining_ms:
            return model.Reason.NONE
        if self._gate.is_warm:
            return model.Reason.QUEUE_FULL
        return model.Reason.WARMING

    def _expected_wait_ms(self) -> float:
        waiting = len(self._queue)
        slots = self._gate.max_concurrency(self.server.spec.slots)
        service_ms = self._service_time_ms * waiting / slots
        return max(service_ms, self._gate.expected_wait_ms(waiting))

    def _take_batch(self) -> tuple[list[_jobs.ShardJob], bool]:
        """Removes a batch of jobs from the queue and occupies a slot for it.

        The caller holds the lock of self._wake.

        Returns:
          The batch, and whether it has to run alone on the server.
        """
        now_ms = self._clock.now_ms()
        self._queue.refuse_expired(now_ms)
        batch = self._queue.take(self._batch_size(), self._running_untrusted)
        exclusive = bool(batch) and batch[0].is_suspect
        if batch:
            self._running_untrusted.update(find_untrusted_fingerprints(batch))
            self._busy_slots += 1
            self._is_exclusive = exclusive
            self._gate.record_start(len(batch))
        return batch, exclusive

    def _batch_size(self) -> int:
        if not self._gate.is_warm:
            return 1
        free = max(1, self.server.spec.slots - self._busy_slots)
        return min(_MAX_BATCH_JOBS, math.ceil(len(self._queue) / free))

    async def _release_slot(self, exclusive: bool) -> None:
        self._busy_slots -= 1
        if exclusive:
            self._is_exclusive = False
        await self._notify()

    async def _notify(self) -> None:
        async with self._wake:
            self._wake.notify_all()


def find_untrusted_fingerprints(batch: list[_jobs.ShardJob]) -> set[str]:
    """Returns the bodies of a batch that are not known to be harmless."""
    return {job.fingerprint for job in batch if not job.is_trusted}
