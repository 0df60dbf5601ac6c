"""The bound on the extra load of retries and hedges."""

_MAX_TOKENS = 20.0


class ExtraLoadBudget:
    """A token bucket that is filled by first attempts.

    Retries and hedges together stay below the given share of the first
    attempts, but for the few that are saved up in calm.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _MAX_TOKENS if share > 0 else 0.0

    def add_first_attempts(self, count: int) -> None:
        """Counts first attempts, which earn extra ones."""
        tokens = self._tokens + count * self._share
        self._tokens = min(_MAX_TOKENS, tokens)

    def take(self, count: int) -> int:
        """Returns how many of the wanted extra attempts are allowed."""
        allowed = min(count, int(self._tokens))
        self._tokens -= allowed
        return allowed


def create_budget(share: float) -> ExtraLoadBudget:
    """Returns the budget of one search; the share is from 0 to 1."""
    return ExtraLoadBudget(share)
