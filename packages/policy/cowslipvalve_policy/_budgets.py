"""The bound on the extra load of retries and hedges."""

_MAX_SAVED_ATTEMPTS = 20.0


class ExtraLoadBudget:
    """A token bucket that is filled by first attempts.

    Retries and hedges together stay below the given share of the first
    attempts, but for the few that are saved up in calm.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = _MAX_SAVED_ATTEMPTS if share > 0 else 0.0

    def add_first_attempts(self, count: int) -> None:
        """Counts first attempts, which earn extra ones."""
        earned = self._saved + count * self._share
        self._saved = min(_MAX_SAVED_ATTEMPTS, earned)

    def take(self, count: int) -> int:
        """Returns how many of the wanted extra attempts are allowed."""
        allowed = min(count, int(self._saved))
        self._saved -= allowed
        return allowed


def create_budget(share: float) -> ExtraLoadBudget:
    """Returns the budget of one search; the share is from 0 to 1."""
    return ExtraLoadBudget(share)
