"""What a home makes of the health of one server."""

import cowslipvalve_model as model

_DRAINING_MS = 5_000  # A draining refusal holds for so long without a state.
_REFUSED_MS = 500  # The wait after a connection that was not taken.
_FAILURES_TO_OPEN = 3
_STRIKE_MS = 60_000  # A suspect is not let to the same server for so long.
_NEVER = float("-inf")


class ServerHealth:
    """Judges a server by the outcomes of its requests.

    Its own state endpoint is a hint: it may add that the server is draining,
    but it cannot take back what the outcomes have shown.
    """

    def __init__(self, clock: model.Clock) -> None:
        self._clock = clock
        self._boot_id = ""
        self._draining_until_ms = _NEVER
        self._refused_until_ms = _NEVER
        self._failures = 0
        self._strikes: dict[str, float] = {}

    @property
    def reason(self) -> model.Reason:
        """Why the server gets no work now, none if it does."""
        now_ms = self._clock.now_ms()
        if now_ms < self._draining_until_ms:
            return model.Reason.DRAINING
        if now_ms < self._refused_until_ms:
            return model.Reason.UNREACHABLE
        return model.Reason.NONE

    def note_draining(self) -> None:
        """Notes that the server asks for no more work."""
        self._draining_until_ms = self._clock.now_ms() + _DRAINING_MS

    def note_refused_connection(self) -> None:
        """Notes that the server took no connection."""
        self._failures = 0
        self._refused_until_ms = self._clock.now_ms() + _REFUSED_MS

    def note_failure(self) -> bool:
        """Notes a failure; returns whether the server is given a pause."""
        self._failures += 1
        if self._failures < _FAILURES_TO_OPEN:
            return False
        self.note_refused_connection()
        return True

    def note_answer(self) -> None:
        """Notes a good answer."""
        self._failures = 0

    def note_boot(self, boot_id: str) -> bool:
        """Notes the server's boot id; returns whether it has restarted."""
        old, self._boot_id = self._boot_id, boot_id
        return bool(old) and old != boot_id

    def add_strike(self, fingerprint: str) -> None:
        """Notes that the connection was lost while a body was running."""
        self._strikes[fingerprint] = self._clock.now_ms()

    def clear_strike(self, fingerprint: str) -> None:
        """Notes that a body runs without harm."""
        self._strikes.pop(fingerprint, None)

    def has_strike(self, fingerprint: str) -> bool:
        """Whether a body is kept away from the server."""
        struck_ms = self._strikes.get(fingerprint, _NEVER)
        if struck_ms > self._clock.now_ms() - _STRIKE_MS:
            return True
        self._strikes.pop(fingerprint, None)
        return False


def create_server_health(clock: model.Clock) -> ServerHealth:
    """Returns the health of a server of which nothing is known."""
    return ServerHealth(clock)
