"""This host's shares of the slack of the budgets, over time."""

import math
from collections.abc import Mapping

import attrs

import cowslipvalve_base as base

# Shares that were replaced within this time count as one change. This bounds
# the memory when many hosts start together.
_MERGE_MS = 500.0


@attrs.define(kw_only=True)
class _PastShares:
    """The least shares of a period that has ended."""

    # Until when later shares are merged into these, on the process's clock.
    merge_until_ms: float
    # When the period ended.
    end_ms: float
    # The shares by service; None if this host had none.
    by_service: Mapping[str, float] | None


class SlackShares:
    """Remembers this host's shares, so that a larger one counts only later.

    What other hosts have sent by their former shares stays in the window of the
    budget, and what a process of this host sent before its start does, too.
    Hence a share is the least one of some time, and a host that has just
    started has none.
    """

    def __init__(
        self, clock: base.Clock, by_service: Mapping[str, float] | None
    ) -> None:
        self._clock = clock
        self._current = by_service
        # In the order of their ends.
        self._past: list[_PastShares] = []
        # A time that was shortened may be lengthened again.
        self._longest_hold_ms = 0.0

    def replace(self, by_service: Mapping[str, float] | None) -> None:
        """Replaces the shares that count from now on.

        Args:
          by_service: The shares, at most 1, of the services of all routes; None
            if this host has none because it or the other hosts are not known.
        """
        now_ms = self._clock.now_ms()
        last = self._past[-1] if self._past else None
        if last is not None and now_ms < last.merge_until_ms:
            last.by_service = _merge(last.by_service, self._current)
            last.end_ms = now_ms
        else:
            self._past.append(
                _PastShares(
                    merge_until_ms=now_ms + _MERGE_MS,
                    end_ms=now_ms,
                    by_service=self._current,
                )
            )
        self._current = by_service

    def find(self, service: str, hold_ms: float) -> float:
        """Returns the least share of a service, 0 to 1, in the last time.

        Args:
          service: The service.
          hold_ms: The time.
        """
        least = _find_share(self._current, service)
        for past in self._list_past(hold_ms):
            least = min(least, _find_share(past.by_service, service))
        return least if math.isfinite(least) else 0.0

    def _list_past(self, hold_ms: float) -> list[_PastShares]:
        now_ms = self._clock.now_ms()
        self._longest_hold_ms = max(self._longest_hold_ms, hold_ms)
        kept_ms = now_ms - self._longest_hold_ms
        while self._past and self._past[0].end_ms < kept_ms:
            del self._past[0]
        return [p for p in self._past if p.end_ms >= now_ms - hold_ms]


def _find_share(by_service: Mapping[str, float] | None, service: str) -> float:
    """Returns a share, infinite if no route named the service.

    No host sent requests to the service by such shares.
    """
    return 0.0 if by_service is None else by_service.get(service, math.inf)


def _merge(
    first: Mapping[str, float] | None, second: Mapping[str, float] | None
) -> Mapping[str, float] | None:
    if first is None or second is None:
        return None
    return {
        service: min(_find_share(first, service), _find_share(second, service))
        for service in first.keys() | second.keys()
    }


def create_slack_shares(
    clock: base.Clock, by_service: Mapping[str, float] | None = None
) -> SlackShares:
    """Creates the shares of a host that has just started.

    Args:
      clock: The clock of the process.
      by_service: The shares by service before the start; None if it had none.
    """
    return SlackShares(clock, by_service)
