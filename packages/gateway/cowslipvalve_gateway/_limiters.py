"""Decides whether this host may send a request to a server with a limit."""

import enum
import itertools
import logging
import math
from collections.abc import Iterable, Iterator

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _hosthealth
from cowslipvalve_gateway import _limitholders
from cowslipvalve_gateway import _limitshares
from cowslipvalve_gateway import _permits
from cowslipvalve_gateway import _ratelimits
from cowslipvalve_gateway import _resources
from cowslipvalve_gateway import _servers

# Hedges leave one token for a first attempt, which cannot go elsewhere.
_HEDGE_TOKENS = 2.0
# If a holder has no token, another may have; more would cost the caller time.
_MAX_HOLDERS_ASKED = 2
# How long a caller waits for permits at most: a round trip between regions over
# a new connection, and a busy host.
_MAX_ASKING_MS = 150.0
# A host that no holder answers tries again after about as long as it takes to
# notice that a host is gone.
_UNREACHABLE_RETRY_MS = 1_000.0
# A host without a share may have seen a change of the hosts before others.
_NO_SHARE_RETRY_MS = 1_000.0

_logger = logging.getLogger(__name__)


class Admission(enum.Enum):
    """How a server's limit allows a request."""

    UNLIMITED = "unlimited"
    # A token of this host's share was taken.
    TOKEN_TAKEN = "token-taken"  # noqa: S105
    # Another host has to permit the request before it is sent.
    PERMIT_NEEDED = "permit-needed"


class Limiter:
    """Keeps this host's requests within its shares of the servers' limits.

    A host that has no share of a limit, or has used it up, asks others that
    have a share for a permit for each request.
    """

    def __init__(
        self,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        ranking: _limitholders.HolderRanking,
        permits: _permits.PermitClient,
        health: _hosthealth.HostHealth,
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._ranking = ranking
        self._permits = permits
        self._health = health

    def has_token(self, view: _servers.ServerView, is_hedge: bool) -> bool:
        """Whether a request may be sent to a server without a permit."""
        limit = view.rate_limit
        if not limit.is_stated:
            return True
        tokens = _HEDGE_TOKENS if is_hedge else 1.0
        return self._update_share(view) and limit.has_tokens(tokens)

    def has_lender(self, view: _servers.ServerView) -> bool:
        """Whether another host may have a permit for a server."""
        return any(self._find_lenders(view))

    def admit(self, view: _servers.ServerView) -> Admission:
        """Takes a token for one request, if the server has a limit.

        Only to be called if there is a token or a lender.
        """
        if not view.rate_limit.is_stated:
            return Admission.UNLIMITED
        if not self.has_token(view, False):
            return Admission.PERMIT_NEEDED
        view.rate_limit.take()
        return Admission.TOKEN_TAKEN

    async def ask_permit(self, view: _servers.ServerView) -> None:
        """Asks hosts that have a share of a server's limit for a permit.

        Raises:
          RateLimitedError: No host gave a permit.
        """
        limit = view.rate_limit
        lenders = list(
            itertools.islice(self._find_lenders(view), _MAX_HOLDERS_ASKED)
        )
        until_ms = self._clock.now_ms() + _MAX_ASKING_MS
        for host in lenders:
            if not limit.is_stated:
                return
            remaining_ms = until_ms - self._clock.now_ms()
            if remaining_ms <= 0.0:
                break
            reply = await self._ask(host, view, remaining_ms)
            if reply is None:
                limit.lenders.record_failure(host.name, _UNREACHABLE_RETRY_MS)
                continue
            limit.learn(
                _ratelimits.NO_LIMIT
                if reply.requests_per_s is None
                else reply.requests_per_s,
                self._clock.now_ms() - reply.age_ms,
            )
            if reply.is_granted:
                limit.lenders.record_success(host.name)
                return
            limit.lenders.record_failure(host.name, reply.wait_ms)
        raise _errors.RateLimitedError(
            f"no permit from any of {len(lenders)} hosts",
            step="ask-permit",
            peer=view.server.instance_id,
        )

    def answer(self, request: _permits.PermitRequest) -> _permits.PermitReply:
        """Returns whether another host may send one request to a server."""
        view = self._catalog.find_server(request.server)
        if view is None:
            return _permits.PermitReply(
                is_granted=False,
                wait_ms=_UNREACHABLE_RETRY_MS,
                requests_per_s=request.requests_per_s,
                age_ms=request.age_ms,
            )
        limit = view.rate_limit
        limit.learn(
            request.requests_per_s, self._clock.now_ms() - request.age_ms
        )
        is_granted = not limit.is_stated
        if limit.is_stated and self._update_share(view):
            is_granted = limit.has_tokens(1.0)
            if is_granted:
                limit.take()
        wait_ms = limit.compute_token_wait_ms()
        return _permits.PermitReply(
            is_granted=is_granted,
            wait_ms=wait_ms if math.isfinite(wait_ms) else _NO_SHARE_RETRY_MS,
            requests_per_s=limit.requests_per_s if limit.is_stated else None,
            age_ms=self._clock.now_ms() - limit.stated_ms,
        )

    def is_exhausted(self, views: Iterable[_servers.ServerView]) -> bool:
        """Whether none of some servers may be sent a request now."""
        return not any(
            self.has_token(view, False) or self.has_lender(view)
            for view in views
        )

    def compute_wait_ms(self, views: Iterable[_servers.ServerView]) -> float:
        """Returns after how many ms the first of some servers may be asked."""
        return min((self._compute_wait_ms(view) for view in views), default=0.0)

    def _compute_wait_ms(self, view: _servers.ServerView) -> float:
        if not self.is_exhausted((view,)):
            return 0.0
        waits_ms = [
            view.rate_limit.lenders.compute_wait_ms(host.name) or math.inf
            for host in self._find_holders(view)
        ]
        waits_ms.append(view.rate_limit.compute_token_wait_ms())
        wait_ms = min(waits_ms)
        return wait_ms if math.isfinite(wait_ms) else _UNREACHABLE_RETRY_MS

    def _update_share(self, view: _servers.ServerView) -> bool:
        """Applies the present share; returns whether this host has one."""
        limit = view.rate_limit
        ranked = self._ranking.rank(view.server)
        if ranked.hosts:
            count = _limitshares.count_holders(
                limit.requests_per_s, len(ranked.hosts)
            )
            has_share = ranked.own_index < count and (
                self._ranking.is_own_known or len(ranked.hosts) == 1
            )
        else:
            # The hosts are not known yet; there are probably some.
            count, has_share = self._catalog.host_count, True
        limit.set_share(
            _limitshares.compute_share(limit.requests_per_s, count)
            if has_share
            else _limitshares.NO_SHARE
        )
        return has_share

    def _find_lenders(
        self, view: _servers.ServerView
    ) -> Iterator[_resources.HostRecord]:
        """Returns the other holders that may have a token, near ones first."""
        return (
            host
            for host in self._find_holders(view)
            if not view.rate_limit.lenders.is_suspect(host.name)
            and not self._health.is_suspect(host.name)
        )

    def _find_holders(
        self, view: _servers.ServerView
    ) -> Iterator[_resources.HostRecord]:
        ranked = self._ranking.rank(view.server)
        count = _limitshares.count_holders(
            view.rate_limit.requests_per_s, len(ranked.hosts)
        )
        return (
            ranked.hosts[index] for index in ranked.near_first if index < count
        )

    async def _ask(
        self,
        host: _resources.HostRecord,
        view: _servers.ServerView,
        timeout_ms: float,
    ) -> _permits.PermitReply | None:
        """Returns the reply of a host, None if it does not come in time."""
        limit = view.rate_limit
        request = _permits.PermitRequest(
            server=view.server.instance_id,
            requests_per_s=limit.requests_per_s,
            age_ms=self._clock.now_ms() - limit.stated_ms,
        )
        try:
            return await self._permits.ask(
                host.state_address, request, timeout_ms
            )
        except _errors.HostUnavailableError as error:
            base.log_event(
                _logger, "permit-failed", logging.WARNING, error=error
            )
            return None


def create_limiter(
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    ranking: _limitholders.HolderRanking,
    permits: _permits.PermitClient,
    health: _hosthealth.HostHealth,
) -> Limiter:
    """Creates the limiter of a host.

    Args:
      catalog: The servers and the hosts.
      clock: The clock of the process.
      ranking: The hosts that ask a server.
      permits: Asks other hosts for permits.
      health: Which other hosts have failed recently.
    """
    return Limiter(catalog, clock, ranking, permits, health)
