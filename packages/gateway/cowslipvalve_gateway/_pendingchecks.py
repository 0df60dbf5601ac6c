"""Servers that broke connections and are being checked.

Whether a server has ended is often known only once others are back, seconds
later. Until then the checks tell under which requests several may have ended.
"""

import collections
import logging

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _crashrecords
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _suspects

_MAX_CHECKS = 256  # Each opens a connection.
_MAX_SUSPECTS_PER_END = 64

_logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class Check:
    """A server whose connections broke, and what ran on them."""

    view: _servers.ServerView
    lost_ms: float
    suspects: set[str] = attrs.field(factory=set)
    # Those that came from a server that broke their connections before.
    resent: set[str] = attrs.field(factory=set)
    # Those that were sent to this server alone, as suspects.
    canaries: set[str] = attrs.field(factory=set)

    @property
    def server(self) -> str:
        """The id of the server."""
        return self.view.server.instance_id

    def create_end(self, now_ms: float) -> _crashrecords.ServerEnd:
        """Returns the end of the server, for a report at a time."""
        return _crashrecords.ServerEnd(
            server=self.server,
            service=self.view.server.service,
            age_ms=now_ms - self.lost_ms,
            suspects=tuple(sorted(self.suspects)),
            resent=tuple(sorted(self.resent & self.suspects)),
            canaries=tuple(sorted(self.canaries & self.suspects)),
        )


class PendingChecks:
    """The checks in progress."""

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._checks: dict[str, Check] = {}
        # By request, how many of the servers ran it.
        self._counts: collections.Counter[str] = collections.Counter()

    def find(self, view: _servers.ServerView) -> Check | None:
        """Returns the check of a server, None if there is none."""
        return self._checks.get(view.server.instance_id)

    def open(self, view: _servers.ServerView) -> Check | None:
        """Returns a new check of a server, None if there are too many."""
        check = Check(view=view, lost_ms=self._clock.now_ms())
        if len(self._checks) >= _MAX_CHECKS:
            base.log_event(
                _logger,
                "server-not-checked",
                logging.WARNING,
                server=check.server,
            )
            return None
        self._checks[check.server] = check
        return check

    def close(self, check: Check) -> None:
        """Ends a check."""
        del self._checks[check.server]
        for fingerprint in check.suspects:
            self._counts[fingerprint] -= 1
            if not self._counts[fingerprint]:
                del self._counts[fingerprint]

    def accuse(
        self,
        check: Check,
        fingerprint: str,
        is_resent: bool,
        is_canary: bool,
    ) -> bool:
        """Records that a request ran on a server.

        Args:
          check: The check of the server.
          fingerprint: The request.
          is_resent: Whether the connection to another server broke under it.
          is_canary: Whether it was sent to this server alone, as a suspect.

        Returns:
          Whether the request has thereby become a suspect.
        """
        is_known = fingerprint in check.suspects
        if not is_known and len(check.suspects) >= _MAX_SUSPECTS_PER_END:
            return False
        check.suspects.add(fingerprint)
        if is_resent:
            check.resent.add(fingerprint)
        if is_canary:
            check.canaries.add(fingerprint)
        if is_known:
            return False
        self._counts[fingerprint] += 1
        return self._counts[fingerprint] == _suspects.MIN_ENDS


def create_pending_checks(clock: base.Clock) -> PendingChecks:
    """Creates a list of no checks."""
    return PendingChecks(clock)
