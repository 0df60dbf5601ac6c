"""This host's observations of each backend server."""

import asyncio
import math
import random

import cowslipvalve_base as base
from cowslipvalve_gateway import _links
from cowslipvalve_gateway import _pools
from cowslipvalve_gateway import _ratelimits
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _withdrawals

# Averages over about five answers, two seconds of one host's traffic.
_SMOOTHING_WEIGHT = 0.2
# An avoided server is tried again after about this time.
_HALF_LIFE_MS = 4_000.0
_EJECT_FAILURE_RATE = 0.5  # Half of the recent attempts failed.
_MS_PER_S = 1_000.0
_TOLERANCE = 1e-9  # Covers rounding errors of sums of credits.
_MIN_EJECT_MS = 1_000.0
_MAX_EJECT_MS = 8_000.0


class ServerView:
    """This host's view of a server: connections, attempts, speed, failures."""

    def __init__(
        self,
        clock: base.Clock,
        server: _resources.Server,
        pool: _pools.ServerPool,
        link: _links.Link,
    ) -> None:
        self._clock = clock
        self.server = server
        self.pool = pool
        self.link = link
        link.on_recovered = self._forget_failures
        # The limit that the server states in its answers.
        self.rate_limit = _ratelimits.create_rate_limit(
            clock, server.instance_id
        )
        # Whether the server states that it wants no requests.
        self.withdrawal = _withdrawals.create_withdrawal(
            clock, server.instance_id
        )
        # The start times of unanswered attempts by attempt number.
        self._running: dict[int, float] = {}
        self._next_attempt = 0
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._updated_ms = clock.now_ms()
        self._ejected_until_ms = 0.0
        self._eject_ms = _MIN_EJECT_MS
        # Whether another server answered at this server's address.
        self.is_misdirected = False
        self._cold_until_ms = clock.now_ms() + server.cold_ms
        # The part of a request to the cold server that this host has earned;
        # None until the first check after the server became cold.
        self._cold_credit: float | None = None
        # The rate and the time of the last check.
        self._cold_rate = 0.0
        self._cold_checked_ms = 0.0
        # The tasks of attempts whose answers are no longer needed.
        self._superseded: list[asyncio.Task[None]] = []

    @property
    def running(self) -> int:
        """The number of this host's attempts that await an answer."""
        return len(self._running)

    @property
    def is_cold(self) -> bool:
        """Whether the server is still warming up."""
        return self._clock.now_ms() < self._cold_until_ms

    @property
    def is_ejected(self) -> bool:
        """Whether the server is avoided because of recent failures."""
        return self._clock.now_ms() < self._ejected_until_ms

    @property
    def slowness(self) -> float:
        """The ratio of actual to expected latency; decays to 1 while unused."""
        return 1.0 + (self._slowness - 1.0) * self._compute_decay()

    def update(self, server: _resources.Server) -> None:
        """Applies a newer registration of the server."""
        if server.cold_ms != self.server.cold_ms:
            self._cold_until_ms = self._clock.now_ms() + server.cold_ms
        if server.sequence != self.server.sequence:
            self.is_misdirected = False
        self.server = server
        self.link.server = server

    def start_attempt(self) -> int:
        """Counts an attempt as running; returns its number."""
        self._next_attempt += 1
        self._running[self._next_attempt] = self._clock.now_ms()
        return self._next_attempt

    def end_attempt(self, number: int) -> None:
        """Counts an attempt as ended."""
        self._running.pop(number, None)

    def may_send(self, cold_rate: float) -> bool:
        """Whether a request may be sent to the server now.

        Args:
          cold_rate: The requests per second that this host may send while the
            server is cold, infinite for no bound.
        """
        if math.isinf(cold_rate) or not self.is_cold:
            self._cold_credit = None
            return True
        return self._earn_cold_credit(cold_rate) >= 1.0 - _TOLERANCE

    def _earn_cold_credit(self, rate: float) -> float:
        """Returns the credit for a cold server, at most one request.

        It grows with time, at the lesser of the rates at the two checks: if all
        hosts waited for a period, a larger rate would end it for many at once.
        """
        now_ms = self._clock.now_ms()
        if self._cold_credit is None:
            # Random, because servers that start together would otherwise get a
            # burst of requests from all hosts.
            self._cold_credit = random.random()
        else:
            earned_ms = now_ms - self._cold_checked_ms
            earned = min(rate, self._cold_rate) * earned_ms / _MS_PER_S
            self._cold_credit = min(1.0, self._cold_credit + earned)
        self._cold_checked_ms = now_ms
        self._cold_rate = rate
        return self._cold_credit

    def record_send(self) -> None:
        """Records that a request is about to be sent."""
        if self._cold_credit is not None:
            self._cold_credit = 0.0

    def add_superseded(self, task: asyncio.Task[None]) -> None:
        """Adds an attempt that may be cancelled when a connection is needed.

        Until then the attempt continues, because cancelling it closes its
        connection and a new one would have to be opened.
        """
        self._superseded.append(task)
        task.add_done_callback(self._superseded.remove)

    def cancel_superseded_if_full(self) -> None:
        """Cancels the oldest superseded attempt if the pool is full."""
        if self.pool.is_full and self._superseded:
            self._superseded[0].cancel()

    def silent_ms(self) -> float:
        """Returns for how long the oldest attempt has had no answer, in ms."""
        if not self._running:
            return 0.0
        return self._clock.now_ms() - next(iter(self._running.values()))

    def record_answer(self, latency_ms: float, expected_ms: float) -> None:
        """Updates the slowness and the failure rate after an answer."""
        ratio = min(50.0, latency_ms / max(1.0, expected_ms))
        self._update_averages(ratio, 0.0)
        self._eject_ms = _MIN_EJECT_MS

    def record_failure(self) -> None:
        """Updates the failure rate; ejects the server if the rate is high.

        A server that this host does not reach is not blamed for it.
        """
        if self.link.is_unreached:
            return
        self._update_averages(self.slowness, 1.0)
        if self._failure_rate >= _EJECT_FAILURE_RATE and not self.is_ejected:
            self._ejected_until_ms = self._clock.now_ms() + self._eject_ms
            self._eject_ms = min(_MAX_EJECT_MS, self._eject_ms * 2)

    def _forget_failures(self) -> None:
        """Discards what may have been the fault of the link."""
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._ejected_until_ms = 0.0
        self._eject_ms = _MIN_EJECT_MS

    def _compute_decay(self) -> float:
        age_ms = self._clock.now_ms() - self._updated_ms
        return float(0.5 ** (age_ms / _HALF_LIFE_MS))

    def _update_averages(self, ratio: float, failure: float) -> None:
        decay = self._compute_decay()
        slowness = 1.0 + (self._slowness - 1.0) * decay
        self._slowness = slowness + _SMOOTHING_WEIGHT * (ratio - slowness)
        failure_rate = self._failure_rate * decay
        self._failure_rate = failure_rate + _SMOOTHING_WEIGHT * (
            failure - failure_rate
        )
        self._updated_ms = self._clock.now_ms()


def create_server_view(
    clock: base.Clock,
    server: _resources.Server,
    max_connections: int,
    memory: base.AnswerMemory | None = None,
    link: _links.Link | None = None,
) -> ServerView:
    """Creates the view of a newly registered server."""
    link = link or _links.create_link(clock, server)
    pool = _pools.create_server_pool(
        clock, server.address, max_connections, memory, link
    )
    return ServerView(clock, server, pool, link)
