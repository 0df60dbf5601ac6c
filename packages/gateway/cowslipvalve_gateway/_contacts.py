"""This host's contact with the platform's store."""

import cowslipvalve_base as base

# Registrations lapse only in an outage that is longer: servers renew them about
# every 1.2 s, and the store removes them after three missed renewals.
MAX_GAP_MS = 2_000.0


class StoreContact:
    """Knows since when the store has answered this host without a long gap.

    Attributes:
      answered_ms: When the newest call that the store answered was sent, on the
        process's clock.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._since_ms = float("inf")
        self.answered_ms = float("-inf")

    def record_answer(self, sent_ms: float) -> None:
        """Records that the store answered a call that was sent at a time."""
        if sent_ms - self.answered_ms > MAX_GAP_MS:
            self._since_ms = sent_ms
        self.answered_ms = max(self.answered_ms, sent_ms)

    @property
    def reached_ms(self) -> float:
        """For how many ms there has been no long gap, 0 if there is one now."""
        now_ms = self._clock.now_ms()
        if now_ms - self.answered_ms > MAX_GAP_MS:
            return 0.0
        return now_ms - self._since_ms


def create_store_contact(clock: base.Clock) -> StoreContact:
    """Creates the contact of a host that the store has not answered yet."""
    return StoreContact(clock)
