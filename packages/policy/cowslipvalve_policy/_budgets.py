"""Budget of the extra load of retries and hedges."""

_MAX_TOKENS = 20.0


class ExtraLoadBudget:
    """A token bucket that first attempts fill.

    Retries and hedges together stay below the given share of the first
    attempts, plus the few tokens that the bucket can hold.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _MAX_TOKENS if share > 0 else 0.0

    def add_first_attempts(self, count: int) -> None:
        """Adds the tokens for first attempts."""
        tokens = self._tokens + count * self._share
        self._tokens = min(_MAX_TOKENS, tokens)

    def take(self, count: int) -> int:
        """Takes tokens for extra attempts; returns how many are allowed."""
        allowed = min(count, int(self._tokens))
        self._tokens -= allowed
        return allowed


def create_extra_load_budget(share: float) -> ExtraLoadBudget:
    """Returns the full budget of one search; the share is from 0 to 1."""
    return ExtraLoadBudget(share)
