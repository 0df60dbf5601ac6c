"""A request to one service, with its attempts, retries and hedges."""

import asyncio
from collections.abc import Callable

import cowslipvalve_base as base
from cowslipvalve_gateway import _attemptlogs
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _failures
from cowslipvalve_gateway import _hedgedelays
from cowslipvalve_gateway import _limiters
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _servicewaits
from cowslipvalve_gateway import _timers

# Outlasts a usual pause of a server, as cancelling costs a new connection.
_SUPERSEDED_TIMEOUT_MS = 400.0
_OVERLOAD_RETRY_MS = 25.0  # A full server completes a request in this time.
# A longer wait for a connection costs callers more than a failed attempt.
_CONNECT_TARGET_SHARE = 0.25
# How often a call checks whether a cold server may get its request.
_COLD_RETRY_MS = 20.0
_FIRST_SERVER_ERROR = 500


class ServiceCall:
    """Obtains one answer from a service.

    Attributes:
      answer: The answer once there is one; a server's error response counts
        only if no other attempt succeeds.
      reason: Why there is no answer; final once the call is settled.
      has_run: Whether a server may have run the request.
      attempts: The number of attempts that were sent.
      is_settled: Whether the outcome is final.
    """

    def __init__(
        self,
        context: _callcontexts.CallContext,
        request: _calls.CallerRequest,
        route: _resources.Route,
        service: str,
        deadline_ms: float,
        on_settled: Callable[["ServiceCall"], None],
        repeat: _attempts.Repeat | None = None,
    ) -> None:
        """Creates a call that is not started.

        Args:
          context: The state that all calls share.
          request: The caller's request.
          route: The request's route.
          service: The service to ask.
          deadline_ms: When to give up, on the process's clock.
          on_settled: Called once the outcome is final.
          repeat: Set if another host may have sent the request to the service.
            Then the first attempt is an extra one too, and only the server that
            the other host asked is used if all together could exceed the
            route's attempts.
        """
        self._context = context
        self._request = request
        self._route = route
        self._deadline_ms = deadline_ms
        self._on_settled = on_settled
        self._repeat = repeat
        self._tried: list[_servers.ServerView] = []
        self._running: list[_attempts.Attempt] = []
        self._timer = _timers.create_timer()
        # Asking for permits to several servers would keep the caller waiting.
        self._may_ask_permit = True
        self._is_counted = False
        self._is_broken = repeat is not None
        self._was_suspect = context.crashes.is_suspect(request)
        self.service = service
        self.answer: _calls.ServerAnswer | None = None
        self.reason = _calls.RefusalReason.NO_SERVER
        self.has_run = False
        self.attempts = 0
        self.is_settled = False

    @property
    def first_server(self) -> str:
        """The server of the first attempt, empty before there is one."""
        return self._tried[0].server.instance_id if self._tried else ""

    @property
    def is_unresponsive(self) -> bool:
        """Whether all usable servers are ejected or not reached."""
        return self._context.selector.is_unresponsive(self._route, self.service)

    @property
    def wait_ms(self) -> float:
        """How long the limits of all servers are used up, in ms."""
        if self.reason is not _calls.RefusalReason.RATE_LIMITED:
            return 0.0
        return _servicewaits.compute_wait_ms(
            self._context, self._route, self.service
        )

    @property
    def _is_cut_off(self) -> bool:
        return _servicewaits.is_cut_off(
            self._context, self._route, self.service
        )

    @property
    def _is_final(self) -> bool:
        is_quarantined = self.reason is _calls.RefusalReason.QUARANTINED
        return is_quarantined or self._is_cut_off

    def describe(self) -> str:
        """Returns service, tried servers, attempts and state for a log line."""
        state = self.reason.value if self.is_settled else "waiting"
        names = "+".join(view.server.instance_id for view in self._tried)
        return f"{self.service}:{names}:{self.attempts}:{state}"

    def start(self) -> None:
        """Starts the first attempt; settles the call if there is no server."""
        self._is_counted = self._repeat is None and not self._is_cut_off
        if self._is_counted:
            self._context.budget(self.service).add_request()
        self._start_or_wait()

    def withdraw(self) -> None:
        """Leaves it to the host that sends the request to count it."""
        if self._is_counted and not self.attempts:
            self._context.budget(self.service).withdraw_request()

    def _start_or_wait(self) -> None:
        """Starts an attempt, or waits until a cold server may get it."""
        if self.is_settled or self._start_attempt():
            return
        if self._is_final:
            self._settle()
            return
        if self._repeat is not None and self._repeat.leaves_none(
            self._find_usable(), self._route.max_attempts
        ):
            self.reason = _calls.RefusalReason.LOST
        if not self._wait_for_cold_server():
            if _servicewaits.is_exhausted(
                self._context, self._route, self.service
            ):
                self.reason = _calls.RefusalReason.RATE_LIMITED
            self._settle()

    def _wait_for_cold_server(self) -> bool:
        is_paced = self._context.selector.has_paced(
            self._route, self.service, self._tried
        )
        if is_paced:
            self._timer.start(_COLD_RETRY_MS, self._start_or_wait)
        return is_paced

    def abandon(self) -> None:
        """Cancels all attempts; an unsettled call ends as timed out."""
        if not self.is_settled:
            self.reason = _calls.RefusalReason.TIMEOUT
        self.is_settled = True
        self._timer.stop()
        for attempt in self._running:
            if attempt.task is not None:
                attempt.task.cancel()

    def _start_attempt(self, is_hedge: bool = False) -> bool:
        """Starts an attempt if there is a server and the budget allows it."""
        if self._context.crashes.blocks(self._request, self.service):
            self.reason = _calls.RefusalReason.QUARANTINED
            return False
        unsent = sum(1 for a in self._running if a.sent_ms is None)
        is_used_up = self.attempts + unsent >= self._route.max_attempts
        if is_used_up or self._is_cut_off:
            return False
        view = self._context.selector.choose(
            self._route,
            self.service,
            self._find_excluded(),
            is_hedge,
            self._may_ask_permit and not is_hedge,
        )
        if view is None:
            return False
        extra = None
        # An attempt that is still connecting counts, as it will be sent too.
        if self.attempts or self._running or self._repeat is not None:
            extra = self._context.try_take_extra(self.service, is_hedge)
            if extra is None:
                if not self._tried:
                    self.reason = _calls.RefusalReason.NO_BUDGET
                return False
        attempt = _attempts.Attempt(
            view=view,
            extra=extra,
            is_hedge=is_hedge,
            is_resent=self._is_broken,
            admission=self._context.limiter.admit(view),
        )
        view.record_send()
        self._tried.append(view)
        self._running.append(attempt)
        attempt.task = asyncio.create_task(self._run(attempt))
        self._schedule_hedge(_hedgedelays.compute_unsent_delay_ms(self._route))
        return True

    def _find_excluded(self) -> list[_servers.ServerView]:
        """Returns the servers that the next attempt must not use."""
        if self._repeat is None:
            return self._tried
        excluded = self._repeat.find_excluded(
            self._find_usable(), self._route.max_attempts
        )
        return [*self._tried, *excluded]

    def _find_usable(self) -> list[_servers.ServerView]:
        return self._context.selector.find_usable(self._route, self.service)

    async def _run(self, attempt: _attempts.Attempt) -> None:
        view = attempt.view
        try:
            if attempt.admission is _limiters.Admission.PERMIT_NEEDED:
                self._may_ask_permit = False
                await self._context.limiter.ask_permit(view)
            answer = await self._context.client.call(
                view,
                self._request,
                self._deadline_ms,
                self._route.target_ms * _CONNECT_TARGET_SHARE,
                not self._route.is_idempotent,
                lambda: self._record_sent(attempt),
            )
        except (
            _errors.UnsentError,
            _errors.RejectedError,
            _errors.LostAnswerError,
        ) as error:
            self._handle_error(attempt, error)
        except asyncio.CancelledError:
            _attemptlogs.record_cancelled(
                self._context, self._request, self._route, attempt
            )
            raise
        else:
            self.has_run = True
            self._context.crashes.record_part(self._request, self.service)
            self._accept_answer(attempt, answer)
        finally:
            if attempt in self._running:
                self._running.remove(attempt)
            self._refund(attempt)

    def _refund(self, attempt: _attempts.Attempt) -> None:
        """Returns what was taken for an attempt that was not sent."""
        if attempt.sent_ms is not None or attempt.is_refunded:
            return
        attempt.is_refunded = True
        if attempt.extra is not None:
            self._context.budget(self.service).refund(attempt.extra)
        if attempt.admission is _limiters.Admission.TOKEN_TAKEN:
            attempt.view.rate_limit.refund()

    def _record_sent(self, attempt: _attempts.Attempt) -> None:
        attempt.sent_ms = self._context.clock.now_ms()
        if attempt.extra is not None:
            self._context.budget(self.service).record_sent(attempt.extra)
        self.attempts += 1
        _attemptlogs.record_sent(
            self._context, self._request, self.service, attempt
        )
        if not self.is_settled:
            latencies = self._context.selector.latencies(
                self._route, attempt.view
            )
            self._schedule_hedge(
                _hedgedelays.compute_hedge_delay_ms(self._route, latencies)
            )

    def _accept_answer(
        self, attempt: _attempts.Attempt, answer: _calls.ServerAnswer
    ) -> None:
        if answer.is_success or answer.status < _FIRST_SERVER_ERROR:
            assert attempt.sent_ms is not None
            self._context.selector.record_answer(
                self._route,
                attempt.view,
                self._context.clock.now_ms() - attempt.sent_ms,
            )
            if not self.is_settled:
                if attempt.view is not self._tried[0]:
                    self._context.measurements.count(
                        "answers_of_extra_attempts"
                    )
                self.answer = answer
                self._settle()
            return
        if not self.is_settled:
            self.answer = answer
        self._handle_failure(attempt, _calls.RefusalReason.BAD_ANSWER, None)

    def _handle_error(
        self, attempt: _attempts.Attempt, error: base.CowslipvalveError
    ) -> None:
        if isinstance(error, _failures.MISDIRECTIONS):
            attempt.view.is_misdirected = True
        if isinstance(error, _errors.LostAnswerError):
            self.has_run = True
        if isinstance(error, _errors.BrokenConnectionError):
            self._is_broken = True
            self._context.crashes.record_loss(
                attempt.view, self._request, attempt.is_resent
            )
        self._handle_failure(attempt, _failures.find_reason(error), error)

    def _handle_failure(
        self,
        attempt: _attempts.Attempt,
        reason: _calls.RefusalReason,
        error: base.CowslipvalveError | None,
    ) -> None:
        """Retries after a failed attempt, or settles the call."""
        self._running.remove(attempt)
        # Before a retry, which may need what is returned.
        self._refund(attempt)
        if _failures.is_server_failure(error):
            attempt.view.record_failure()
        self._context.measurements.count("failed_attempts", reason.value)
        self._log(
            "attempt-failed", attempt.view, reason=reason.value, error=error
        )
        if self.is_settled:
            return
        self.reason = reason
        if self._running:
            return
        if not self._may_retry() or not self._retry():
            self._settle()

    def _retry(self) -> bool:
        if self._start_attempt():
            return True
        is_used_up = self.attempts >= self._route.max_attempts
        if self._is_final or is_used_up or not self._tried:
            return False
        if self._wait_for_cold_server():
            return True
        if self.reason is not _calls.RefusalReason.OVERLOADED:
            return False
        # An overloaded server may accept the request later.
        self._tried.clear()
        self._timer.start(_OVERLOAD_RETRY_MS, self._start_or_wait)
        return True

    def _may_retry(self) -> bool:
        # Others go on, as servers that fail together accuse many requests.
        if self._is_broken and self._was_suspect:
            return False
        return self._route.is_idempotent or not self.has_run

    def _schedule_hedge(self, delay_ms: float) -> None:
        self._timer.stop()
        if self._route.is_idempotent:
            self._timer.start(delay_ms, self._hedge)

    def _hedge(self) -> None:
        """Sends a hedge to another server unless the call is settled."""
        if self.is_settled:
            return
        pending = [attempt.view for attempt in self._running]
        is_sent = self._start_attempt(is_hedge=True)
        if is_sent:
            self._context.measurements.count("hedges")
        if pending:
            self._log(
                "hedge" if is_sent else "hedge-refused",
                pending[0],
                silent_ms=round(pending[0].silent_ms()),
            )

    def _settle(self) -> None:
        self.is_settled = True
        self._timer.stop()
        for attempt in self._running:
            if attempt.task is not asyncio.current_task() and attempt.task:
                attempt.view.add_superseded(attempt.task)
                asyncio.get_running_loop().call_later(
                    base.to_seconds(_SUPERSEDED_TIMEOUT_MS), attempt.task.cancel
                )
        self._on_settled(self)

    def _log(
        self, event: str, view: _servers.ServerView, **fields: object
    ) -> None:
        _attemptlogs.log_attempt(
            self._context, self._request, self.service, event, view, **fields
        )
