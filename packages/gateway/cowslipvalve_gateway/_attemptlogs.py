"""Records and log lines of the attempts of calls."""

import logging

import cowslipvalve_base as base
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _callcontexts
from cowslipvalve_gateway import _calls
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers

_logger = logging.getLogger(__name__)


def log_attempt(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    service: str,
    event: str,
    view: _servers.ServerView,
    **fields: object,
) -> None:
    """Logs an event of an attempt, with the state that decisions rest on.

    Args:
      context: The state that all calls share.
      request: The caller's request.
      service: The service that is asked.
      event: The name of the event.
      view: The server of the attempt.
      **fields: What else is to be told.
    """
    base.log_event(
        _logger,
        event,
        request=request.request_id,
        service=service,
        server=view.server.instance_id,
        slowness=f"{view.slowness:.2f}",
        running=view.running,
        **context.describe_budget(service),
        **fields,
    )


def record_sent(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    service: str,
    attempt: _attempts.Attempt,
) -> None:
    """Counts a sent attempt; logs it if its server states a rate limit."""
    context.measurements.count("attempts")
    rate_limit = attempt.view.rate_limit
    if not rate_limit.is_stated:
        return
    context.measurements.count("attempts_to_limited", attempt.kind)
    log_attempt(
        context,
        request,
        service,
        "limited-attempt",
        attempt.view,
        kind=attempt.kind,
        requests_per_s=rate_limit.requests_per_s,
    )


def record_cancelled(
    context: _callcontexts.CallContext,
    request: _calls.CallerRequest,
    route: _resources.Route,
    attempt: _attempts.Attempt,
) -> None:
    """Records that an attempt was cancelled; one that was not sent is none."""
    if attempt.sent_ms is None:
        return
    context.selector.record_unanswered(
        route, attempt.view, context.clock.now_ms() - attempt.sent_ms
    )
    context.crashes.record_cancelled(attempt.view, request, attempt.is_resent)
