"""What a home makes of the health of one server."""

import cowslipvalve_model as model

_DRAINING_HOLD_MS = (
    5_000  # A draining refusal holds for so long without a state.
)
_UNREACHABLE_BACKOFF_MS = 500  # The wait after a connection that was not taken.
_FAILURE_THRESHOLD = 3
_BODY_BLOCK_MS = 60_000  # A suspect is not let to the same server for so long.
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
        self._unreachable_until_ms = _NEVER
        self._consecutive_failures = 0
        self._blocked_bodies: dict[str, float] = {}

    @property
    def reason(self) -> model.Reason:
        """Why the server gets no work now, none if it does."""
        now_ms = self._clock.now_ms()
        if now_ms < self._draining_until_ms:
            return model.Reason.DRAINING
        if now_ms < self._unreachable_until_ms:
            return model.Reason.UNREACHABLE
        return model.Reason.NONE

    def mark_draining(self) -> None:
        """Notes that the server asks for no more work."""
        self._draining_until_ms = self._clock.now_ms() + _DRAINING_HOLD_MS

    def mark_unreachable(self) -> None:
        """Notes that the server took no connection."""
        self._consecutive_failures = 0
        self._unreachable_until_ms = (
            self._clock.now_ms() + _UNREACHABLE_BACKOFF_MS
        )

    def record_failure(self) -> bool:
        """Notes a failure; returns whether the server is given a pause."""
        self._consecutive_failures += 1
        if self._consecutive_failures < _FAILURE_THRESHOLD:
            return False
        self.mark_unreachable()
        return True

    def record_success(self) -> None:
        """Notes a good answer."""
        self._consecutive_failures = 0

    def update_boot_id(self, boot_id: str) -> bool:
        """Notes the server's boot id; returns whether it has restarted."""
        old, self._boot_id = self._boot_id, boot_id
        return bool(old) and old != boot_id

    def block_body(self, fingerprint: str) -> None:
        """Notes that the connection was lost while a body was running."""
        self._blocked_bodies[fingerprint] = self._clock.now_ms()

    def unblock_body(self, fingerprint: str) -> None:
        """Notes that a body runs without harm."""
        self._blocked_bodies.pop(fingerprint, None)

    def is_body_blocked(self, fingerprint: str) -> bool:
        """Whether a body is kept away from the server."""
        struck_ms = self._blocked_bodies.get(fingerprint, _NEVER)
        if struck_ms > self._clock.now_ms() - _BODY_BLOCK_MS:
            return True
        self._blocked_bodies.pop(fingerprint, None)
        return False


def create_server_health(clock: model.Clock) -> ServerHealth:
    """Returns the health of a server of which nothing is known."""
    return ServerHealth(clock)
