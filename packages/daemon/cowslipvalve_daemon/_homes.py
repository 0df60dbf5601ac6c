"""Runs queries and orders on the servers whose home is this host."""

import asyncio
import contextlib
import logging
import uuid
from collections.abc import Callable

import mode

import cowslipvalve_model as model
from cowslipvalve_daemon import _configurations
from cowslipvalve_daemon import _jobs
from cowslipvalve_daemon import _memberships
from cowslipvalve_daemon import _metrics
from cowslipvalve_daemon import _partials
from cowslipvalve_daemon import _serverworkers

_LOGGER = logging.getLogger(__name__)
_RECONCILE_INTERVAL_MS = 200
_FLUSH_INTERVAL_MS = 4  # Results are delayed for batching at most this long.


class HomeService(mode.Service):
    """Keeps a worker for each server whose home is this host.

    When a server gets another home, its worker stays until its running
    requests have ended.
    """

    def __init__(
        self,
        failure_domain: str,
        memberships: _memberships.Memberships,
        configurations: _configurations.ConfigurationHolder,
        reply_memory: model.AnswerMemory,
        metrics: _metrics.Metrics,
        clock: model.Clock,
    ) -> None:
        super().__init__()
        self._failure_domain = failure_domain
        self._memberships = memberships
        self._configurations = configurations
        self._reply_memory = reply_memory
        self._metrics = metrics
        self._clock = clock
        self._workers: dict[str, _serverworkers.ServerWorker] = {}
        self._collectors: dict[tuple[str, str], _partials.QueryCollector] = {}
        self._attempt_ids: dict[tuple[str, str], tuple[str, ...]] = {}
        self._changed = asyncio.Event()
        self._boot_id = uuid.uuid4().hex[:8]
        self._attempt_count = 0
        memberships.add_listener(self._changed.set)
        configurations.add_listener(self._changed.set)

    def list_unreleased_servers(self) -> tuple[str, ...]:
        """Returns servers with a new home that still run work of this host.

        The new home must not send work to them yet.
        """
        return tuple(
            name
            for name, worker in self._workers.items()
            if worker.is_busy and not self._memberships.is_preferred_home(name)
        )

    async def run_query(
        self,
        sender: str,
        query: model.HomeQuery,
        emit: Callable[[model.PartialAnswer], None],
    ) -> None:
        """Queues the shard queries of one caller's query.

        Args:
          sender: The name of the host that sent the query.
          query: The query, with the shards to query on each server.
          emit: Called with each partial answer as soon as it is ready.
        """
        key = (sender, query.query_id)
        collector = _partials.create_query_collector(query, emit)
        self._collectors[key] = collector
        deadline_ms = self._clock.now_ms() + query.remaining_ms
        attempt_ids = []
        for target in query.targets:
            worker = self._workers.get(target.server)
            for index in target.indices:
                job = self._create_job(
                    collector, target.server, index, deadline_ms
                )
                attempt_ids.append(job.query.attempt_id)
                if worker is None:
                    job.finish(model.Outcome.NOT_RUN, model.Reason.NOT_HOME)
                else:
                    await worker.enqueue(job)
        self._attempt_ids[key] = tuple(attempt_ids)
        self.add_future(self._flush(key, collector, deadline_ms))

    async def run_order(self, order: model.HomeOrder) -> model.HomeOrderReply:
        """Runs an order; refuses it if this host is not the server's home."""
        worker = self._workers.get(order.server)
        if worker is None:
            return model.HomeOrderReply(
                model.Outcome.NOT_RUN, model.Reason.NOT_HOME
            )
        job = _jobs.OrderJob(
            model.ServerOrder(
                order.request_id,
                order.attempt_id,
                order.search,
                order.body,
                order.remaining_ms,
            ),
            order.fingerprint,
            self._clock.now_ms() + order.remaining_ms,
        )
        return await worker.run_order(job)

    async def cancel(self, sender: str, query_id: str) -> None:
        """Stops a query that the sending host has cancelled."""
        key = (sender, query_id)
        collector = self._collectors.pop(key, None)
        attempt_ids = self._attempt_ids.pop(key, ())
        if collector is None or collector.is_done:
            return
        collector.cancelled = True
        for target in collector.query.targets:
            worker = self._workers.get(target.server)
            if worker is not None:
                worker.drop_cancelled()
                await worker.cancel(attempt_ids)

    async def cancel_all(self, sender: str) -> None:
        """Stops all queries of a host whose connection was lost."""
        keys = [key for key in self._collectors if key[0] == sender]
        for key in keys:
            await self.cancel(*key)

    @property
    def is_idle(self) -> bool:
        """Whether no request is running on any server."""
        return not any(worker.is_busy for worker in self._workers.values())

    @mode.Service.task
    async def _reconcile(self) -> None:
        while not self.should_stop:
            await self._reconcile_once()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(),
                    model.to_seconds(_RECONCILE_INTERVAL_MS),
                )
            self._changed.clear()

    async def _reconcile_once(self) -> None:
        wanted = {
            name: server
            for name, server in self._configurations.current.servers.items()
            if self._is_wanted(server)
        }
        for name, worker in list(self._workers.items()):
            server = wanted.get(name)
            if server is None or server.spec != worker.server.spec:
                worker.retire()
            if worker.is_retired and not worker.is_busy:
                await self._remove(name, worker)
        for name, server in wanted.items():
            if name not in self._workers:
                await self._add(server)

    def _is_wanted(self, server: model.BackendServer) -> bool:
        """Whether this host is the preferred home of a server of its domain."""
        if server.spec.failure_domain != self._failure_domain:
            return False
        return self._memberships.is_preferred_home(server.metadata.name)

    async def _add(self, server: model.BackendServer) -> None:
        worker = _serverworkers.create_server_worker(
            server,
            self._memberships,
            self._configurations,
            self._reply_memory,
            self._metrics,
            self._clock,
        )
        self._workers[worker.name] = worker
        await self.add_runtime_dependency(worker)
        self._metrics.homes.add(1)
        model.log_event(_LOGGER, "home-taken", server=worker.name)

    async def _remove(
        self, name: str, worker: _serverworkers.ServerWorker
    ) -> None:
        del self._workers[name]
        await self.remove_dependency(worker)
        await worker.stop()
        self._metrics.homes.add(-1)
        model.log_event(_LOGGER, "home-released", server=name)

    def _create_job(
        self,
        collector: _partials.QueryCollector,
        server: str,
        index: int,
        deadline_ms: float,
    ) -> _jobs.ShardJob:
        self._attempt_count += 1
        query = collector.query
        shard_query = model.ShardQuery(
            query.request_id,
            f"{self._memberships.host}-{self._boot_id}-{self._attempt_count}",
            query.snapshot,
            index,
            query.body,
            query.remaining_ms,
            query.top_hits,
        )
        return _jobs.ShardJob(collector, server, shard_query, deadline_ms)

    async def _flush(
        self,
        key: tuple[str, str],
        collector: _partials.QueryCollector,
        deadline_ms: float,
    ) -> None:
        """Sends finished results without waiting for the rest of the query."""
        while not collector.is_done and not collector.cancelled:
            if self._clock.now_ms() > deadline_ms + _RECONCILE_INTERVAL_MS:
                break
            await self._clock.sleep_ms(_FLUSH_INTERVAL_MS)
            collector.flush()
        self._collectors.pop(key, None)
        self._attempt_ids.pop(key, None)


def create_home_service(
    failure_domain: str,
    memberships: _memberships.Memberships,
    configurations: _configurations.ConfigurationHolder,
    reply_memory: model.AnswerMemory,
    metrics: _metrics.Metrics,
    clock: model.Clock,
) -> HomeService:
    """Returns a home service without workers."""
    return HomeService(
        failure_domain,
        memberships,
        configurations,
        reply_memory,
        metrics,
        clock,
    )
