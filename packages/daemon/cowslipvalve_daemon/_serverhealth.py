"""The health of one backend server, as its home sees it."""

import cowslipvalve_model as model

# How long a server counts as draining after its last report of draining.
_DRAINING_HOLD_MS = 5_000
# The pause after a refused connection or too many consecutive failures.
_UNREACHABLE_BACKOFF_MS = 500
_CONSECUTIVE_FAILURE_THRESHOLD = 3
_BODY_BLOCK_MS = 60_000  # After a connection was lost while the body ran.
_NEVER = float("-inf")


class ServerHealth:
    """Derives the health of a server from the outcomes of its requests.

    The server's state endpoint is only a hint: it can report that the server
    is draining, but it cannot override what the outcomes have shown.

    Attributes:
      boot_id: The server's last known boot id, empty before the first.
    """

    def __init__(self, clock: model.Clock) -> None:
        self._clock = clock
        self.boot_id = ""
        self._draining_until_ms = _NEVER
        self._unreachable_until_ms = _NEVER
        self._consecutive_failures = 0
        self._blocked_bodies: dict[str, float] = {}

    @property
    def reason(self) -> model.Reason:
        """Why the server gets no work now, NONE if it gets work."""
        now_ms = self._clock.now_ms()
        if now_ms < self._draining_until_ms:
            return model.Reason.DRAINING
        if now_ms < self._unreachable_until_ms:
            return model.Reason.UNREACHABLE
        return model.Reason.NONE

    def mark_draining(self) -> None:
        """Stops work for a while, as the server reported that it drains."""
        self._draining_until_ms = self._clock.now_ms() + _DRAINING_HOLD_MS

    def mark_unreachable(self) -> None:
        """Stops work for a short time, as the server cannot be reached."""
        self._consecutive_failures = 0
        self._unreachable_until_ms = (
            self._clock.now_ms() + _UNREACHABLE_BACKOFF_MS
        )

    def record_failure(self) -> bool:
        """Records a failed request.

        Returns:
          Whether the server gets no work for a short time, since it has failed
          too often in a row.
        """
        self._consecutive_failures += 1
        if self._consecutive_failures < _CONSECUTIVE_FAILURE_THRESHOLD:
            return False
        self.mark_unreachable()
        return True

    def record_success(self) -> None:
        """Records a good answer, which resets the count of failures."""
        self._consecutive_failures = 0

    def update_boot_id(self, boot_id: str) -> bool:
        """Stores the server's boot id.

        Returns:
          Whether the server has restarted.
        """
        old, self.boot_id = self.boot_id, boot_id
        return bool(old) and old != boot_id

    def block_body(self, fingerprint: str) -> None:
        """Blocks a body that was running when the connection was lost."""
        self._blocked_bodies[fingerprint] = self._clock.now_ms()

    def unblock_body(self, fingerprint: str) -> None:
        """Unblocks a body that is known to be harmless."""
        self._blocked_bodies.pop(fingerprint, None)

    def is_body_blocked(self, fingerprint: str) -> bool:
        """Whether the server must not run a body for now."""
        blocked_ms = self._blocked_bodies.get(fingerprint, _NEVER)
        if blocked_ms > self._clock.now_ms() - _BODY_BLOCK_MS:
            return True
        self._blocked_bodies.pop(fingerprint, None)
        return False


def create_server_health(clock: model.Clock) -> ServerHealth:
    """Returns the health of a server without any outcomes yet."""
    return ServerHealth(clock)
