"""Decides which requests a host that is about to stop still takes.

Answers the load that reaches a host in the grace period of a planned stop, on
connections that callers have kept open.
"""

import attrs

from cowslipvalve_gateway import _resources

# How many times its target a request needs at most, in most cases; one that
# takes longer ends with an answer, too.
_USUAL_TARGETS = 2.0
# The caller of a request that runs once cannot repeat it after a cut.
_USUAL_TARGETS_NOT_IDEMPOTENT = 6.0


@attrs.frozen(kw_only=True)
class StopPlan:
    """A planned stop of this host."""

    # When the last requests are ended, on the process's clock.
    end_ms: float

    def has_time_for(
        self, route: _resources.Route, now_ms: float, deadline_ms: float
    ) -> bool:
        """Whether a request that arrives now will probably end in time.

        Args:
          route: The request's route.
          now_ms: The present time.
          deadline_ms: When the request ends at the latest.
        """
        targets = (
            _USUAL_TARGETS
            if route.is_idempotent
            else _USUAL_TARGETS_NOT_IDEMPOTENT
        )
        needed_until_ms = now_ms + targets * route.target_ms
        return min(needed_until_ms, deadline_ms) <= self.end_ms
