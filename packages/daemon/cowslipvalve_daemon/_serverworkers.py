"""Sends queries and orders to one backend server, within its limits."""

import asyncio
import contextlib
import logging

import attrs
import mode

import cowslipvalve_backend as backend
import cowslipvalve_model as model
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _crashchecks
from cowslipvalve_daemon import _jobs
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _serverslots

_LOGGER = logging.getLogger(__name__)
_STATE_INTERVAL_MS = 500  # Between two reads of the server's state endpoint.
_DEADLINE_GRACE_MS = 100  # For the reply of a server that hit the deadline.
_RECHECK_INTERVAL_MS = 20  # Polls for a lease or the end of a handover.
_SERVICE_TIME_SAMPLE_WEIGHT = 0.1


class ServerWorker(_serverslots.ServerSlots):
    """Runs the jobs and orders of one backend server.

    One task per slot sends the queued jobs in batches; an order occupies a
    slot too. Further tasks poll the server's state and refuse expired jobs.
    """

    def __init__(
        self,
        server: model.BackendServer,
        client: backend.ServerClient,
        memberships: _memberships.Memberships,
        configurations: _configurations.ConfigurationHolder,
        metrics: _metrics.Metrics,
        clock: model.Clock,
    ) -> None:
        super().__init__(server, memberships, configurations, clock)
        self._client = client
        self._metrics = metrics
        self._state_is_stale = asyncio.Event()
        self._published_record: model.ServerRecord | None = None
        self._state: model.ServerState | None = None

    async def on_start(self) -> None:
        """Starts one task for each slot."""
        for _ in range(self.server.spec.slots):
            self.add_future(self._run_slot())

    async def on_stop(self) -> None:
        """Refuses all queued jobs and closes the connections."""
        self._queue.refuse_all(model.Reason.NOT_HOME)
        await self._client.close()

    async def enqueue(self, job: _jobs.ShardJob) -> None:
        """Queues a job, or refuses it immediately."""
        if job.is_trusted:
            self._health.unblock_body(job.fingerprint)
        reason = self._refusal_reason(job.fingerprint, job.deadline_ms)
        if reason is not model.Reason.NONE:
            job.finish(model.Outcome.NOT_RUN, reason)
            return
        self._queue.add(job)
        await self._notify()

    async def run_order(self, job: _jobs.OrderJob) -> model.HomeOrderReply:
        """Runs an order, which occupies a slot by itself."""
        reason = self._refusal_reason(job.fingerprint, job.deadline_ms)
        if reason is not model.Reason.NONE:
            return model.HomeOrderReply(model.Outcome.NOT_RUN, reason)
        if not await self._acquire_slot(job.deadline_ms):
            return model.HomeOrderReply(
                model.Outcome.NOT_RUN, model.Reason.DEADLINE
            )
        try:
            return await self._send_order(job)
        finally:
            await self._release_slot(exclusive=False)

    def retire(self) -> None:
        """Refuses all queued and future work, which belongs to a new worker."""
        self._is_retired = True
        self._queue.refuse_all(model.Reason.NOT_HOME)
        self._published_record = None

    def drop_cancelled(self) -> None:
        """Removes the queued jobs of cancelled queries."""
        self._queue.drop_cancelled()

    async def cancel(self, attempt_ids: tuple[str, ...]) -> None:
        """Asks the server to stop the given attempts."""
        await self._client.cancel(attempt_ids)

    @mode.Service.task
    async def _poll_state(self) -> None:
        while not self.should_stop:
            if self.may_serve:
                await self._read_state()
                self.publish()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._state_is_stale.wait(),
                    model.to_seconds(_STATE_INTERVAL_MS),
                )
            self._state_is_stale.clear()

    @mode.Service.task
    async def _expire_jobs(self) -> None:
        """Refuses jobs that cannot start in time.

        Also wakes the slot tasks, so that they check the lease again.
        """
        while not self.should_stop:
            if len(self._queue) or self._waiting_orders:
                self._queue.refuse_expired(self._clock.now_ms())
                if self._configurations.is_server_out(self.server):
                    self._queue.refuse_all(model.Reason.OUT)
                await self._notify()
            await self._clock.sleep_ms(_RECHECK_INTERVAL_MS)

    async def _run_slot(self) -> None:
        while not self.should_stop:
            async with self._wake:
                await self._wake.wait_for(
                    lambda: self._has_work() and self._may_start()
                )
                batch, exclusive = self._take_batch()
            if not batch:
                continue
            try:
                await self._send(batch)
            finally:
                self._running_untrusted.difference_update(
                    _serverslots.find_untrusted_fingerprints(batch)
                )
                await self._release_slot(exclusive)

    async def _send(self, batch: list[_jobs.ShardJob]) -> None:
        now_ms = self._clock.now_ms()
        for job in batch:
            remaining_ms = job.deadline_ms - now_ms
            job.query = attrs.evolve(job.query, remaining_ms=remaining_ms)
        timeout_ms = max(job.deadline_ms for job in batch) - now_ms
        # The server stops at the deadline by itself, and its slot becomes free
        # only then. Without waiting for its reply, the slot could be reused
        # while the server is still working.
        timeout_ms += _DEADLINE_GRACE_MS
        opened_before = self._client.connections_opened
        boot_id = self._health.boot_id
        try:
            reply = await self._client.query(
                model.ServerBatch(tuple(job.query for job in batch)), timeout_ms
            )
        except model.NotRunError as error:
            self._handle_refused_connection()
            _finish_all(batch, model.Outcome.NOT_RUN, error.reason)
        except model.CrashedError as error:
            alone = len(batch) == 1 and self._busy_slots == 1
            # At once, as the server is cold if it has restarted.
            self._restart_warm_up("connection-lost")
            self._handle_failure(error)
            if await self._runs_on(boot_id):
                _finish_all(
                    batch, model.Outcome.UNKNOWN, model.Reason.ANSWER_LOST
                )
            else:
                self._finish_crashed(batch, alone)
        except model.UnknownOutcomeError as error:
            self._handle_failure(error)
            reason = model.Reason.MISMATCH
            if self._clock.now_ms() >= now_ms + timeout_ms:
                reason = model.Reason.DEADLINE
            _finish_all(batch, model.Outcome.UNKNOWN, reason)
        else:
            latency_ms = self._clock.now_ms() - now_ms
            is_new = self._client.connections_opened > opened_before
            self._handle_reply(batch, reply, latency_ms, is_new)

    def _handle_reply(
        self,
        batch: list[_jobs.ShardJob],
        reply: model.ServerReply,
        latency_ms: float,
        is_new_connection: bool,
    ) -> None:
        self._update_boot_id(reply.boot_id)
        answered = 0
        for job, answer in zip(batch, reply.answers, strict=True):
            if answer.outcome is model.Outcome.ANSWERED:
                answered += 1
                self._health.unblock_body(job.fingerprint)
            self._handle_refusal(answer.reason)
            job.finish(answer.outcome, answer.reason, answer.total, answer.hits)
        if not answered:
            return
        self._health.record_success()
        per_query_ms = latency_ms / len(batch)
        self._service_time_ms += _SERVICE_TIME_SAMPLE_WEIGHT * (
            per_query_ms - self._service_time_ms
        )
        # The latency on a new connection includes the connection set-up, so it
        # does not show how warm the server is.
        if self._gate.add_answer(None if is_new_connection else per_query_ms):
            self._report_warm_up("latency")
            self.publish()

    async def _send_order(self, job: _jobs.OrderJob) -> model.HomeOrderReply:
        now_ms = self._clock.now_ms()
        if not self.may_serve or now_ms >= job.deadline_ms:
            return model.HomeOrderReply(
                model.Outcome.NOT_RUN, model.Reason.NOT_HOME
            )
        timeout_ms = job.deadline_ms - now_ms
        self._gate.record_start(1)
        try:
            reply = await self._client.order(
                attrs.evolve(job.order, remaining_ms=timeout_ms), timeout_ms
            )
        except model.NotRunError as error:
            self._handle_refused_connection()
            return model.HomeOrderReply(model.Outcome.NOT_RUN, error.reason)
        except model.CrashedError:
            self._health.block_body(job.fingerprint)
            self._restart_warm_up("connection-lost")
            return model.HomeOrderReply(
                model.Outcome.UNKNOWN, model.Reason.CONNECTION_LOST
            )
        except model.UnknownOutcomeError as error:
            self._handle_failure(error)
            return model.HomeOrderReply(
                model.Outcome.UNKNOWN, model.Reason.DEADLINE
            )
        self._update_boot_id(reply.boot_id)
        self._handle_refusal(reply.reason)
        if reply.outcome is model.Outcome.ANSWERED:
            self._gate.add_answer(None)
        return model.HomeOrderReply(reply.outcome, reply.reason, reply.result)

    def _update_boot_id(self, boot_id: str) -> None:
        if self._health.update_boot_id(boot_id):
            self._restart_warm_up("new-boot")

    def _handle_refusal(self, reason: model.Reason) -> None:
        if reason is model.Reason.SHED:
            self._restart_warm_up("shed")
        elif reason is model.Reason.DRAINING:
            self._handle_draining()
        elif reason is model.Reason.SNAPSHOT_UNAVAILABLE:
            self._state_is_stale.set()

    def _handle_draining(self) -> None:
        self._health.mark_draining()
        self._queue.refuse_all(model.Reason.DRAINING)
        self.publish()

    def _handle_refused_connection(self) -> None:
        self._health.mark_unreachable()
        self._restart_warm_up("connection-refused")
        self._queue.refuse_all(model.Reason.UNREACHABLE)
        self.publish()

    async def _runs_on(self, boot_id: str) -> bool:
        """Whether a server that broke a connection has not crashed.

        A server that drains may end at any time.
        """
        if self._health.reason is model.Reason.DRAINING:
            return True
        return await _crashchecks.is_running(self._client, boot_id, self._clock)

    def _finish_crashed(self, batch: list[_jobs.ShardJob], alone: bool) -> None:
        for job in batch:
            if not job.is_trusted:
                self._health.block_body(job.fingerprint)
                self._queue.refuse_body(job.fingerprint)
            job.finish(
                model.Outcome.UNKNOWN,
                model.Reason.CONNECTION_LOST,
                alone=alone,
            )

    def _handle_failure(self, error: model.CowslipvalveError) -> None:
        if self._health.record_failure():
            self._restart_warm_up("failures")
            self.publish()
        model.log_event(
            _LOGGER,
            "server-failure",
            logging.WARNING,
            step=error.step,
            peer=error.peer,
            error=error,
        )

    def _restart_warm_up(self, reason: str) -> None:
        self._gate.reset()
        self._report_warm_up(reason)
        self.publish()

    def _report_warm_up(self, reason: str) -> None:
        self._metrics.warm_ups.add(1, {"reason": reason})
        model.log_event(_LOGGER, "warm-up", server=self.name, reason=reason)

    async def _read_state(self) -> None:
        try:
            self._state = await self._client.read_state()
        except model.NotRunError:
            if self._state is None:
                return
            if self._health.record_failure():
                self._handle_refused_connection()
            return
        self._update_boot_id(self._state.boot_id)
        if self._state.draining:
            self._handle_draining()

    def _condition(self) -> model.ServerCondition:
        if self._configurations.is_server_out(self.server):
            return model.ServerCondition.OUT
        if self._health.reason is model.Reason.DRAINING:
            return model.ServerCondition.DRAINING
        if self._health.reason is model.Reason.UNREACHABLE:
            return model.ServerCondition.UNREACHABLE
        if self._gate.is_warm:
            return model.ServerCondition.SERVING
        return model.ServerCondition.WARMING

    def publish(self) -> None:
        """Publishes the server's record to all hosts if it has changed."""
        if self._state is None or not self.may_serve:
            return
        record = model.ServerRecord(
            server=self.name,
            home=self._memberships.host,
            incarnation=self._memberships.incarnation,
            condition=self._condition(),
            holdings=self._state.holdings,
        )
        if record != self._published_record:
            self._published_record = record
            self._memberships.publish_server(record)


def _finish_all(
    batch: list[_jobs.ShardJob], outcome: model.Outcome, reason: model.Reason
) -> None:
    for job in batch:
        job.finish(outcome, reason)


def create_server_worker(
    server: model.BackendServer,
    memberships: _memberships.Memberships,
    configurations: _configurations.ConfigurationHolder,
    reply_memory: model.AnswerMemory,
    metrics: _metrics.Metrics,
    clock: model.Clock,
) -> ServerWorker:
    """Returns a worker for one server, which is treated as cold at first."""
    client = backend.create_server_client(
        server.metadata.name,
        server.spec.address,
        server.spec.max_connections,
        reply_memory,
    )
    return ServerWorker(
        server, client, memberships, configurations, metrics, clock
    )
