"""Which other hosts have recently failed to do what they were asked for."""

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _hostpresences

_FIRST_SUSPICION_MS = 1_000.0
# A host that lost power for good costs each request a time-out per period.
_MAX_SUSPICION_MS = 16_000.0


@attrs.define
class _Suspicion:
    """A period in which a host is not preferred."""

    until_ms: float
    length_ms: float


class HostHealth:
    """Suspects hosts after failures, for longer the more they fail."""

    def __init__(
        self,
        clock: base.Clock,
        first_ms: float,
        max_ms: float,
        presence: _hostpresences.HostPresence | None,
    ) -> None:
        self._clock = clock
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._presence = presence
        self._suspicions: dict[str, _Suspicion] = {}

    def is_suspect(self, host: str) -> bool:
        """Whether a host is not to be asked for now."""
        if self._presence is not None and self._presence.is_absent(host):
            return True
        return self.compute_wait_ms(host) > 0.0

    def compute_wait_ms(self, host: str) -> float:
        """Returns for how many ms a host is not to be asked, 0 if it may be."""
        suspicion = self._suspicions.get(host)
        if suspicion is None:
            return 0.0
        return max(0.0, suspicion.until_ms - self._clock.now_ms())

    def record_failure(self, host: str, min_ms: float = 0.0) -> None:
        """Records that a host refused a request, was silent or broke off.

        Args:
          host: The host.
          min_ms: For how long it is not to be asked at least.
        """
        now_ms = self._clock.now_ms()
        old = self._suspicions.get(host)
        if old is not None and now_ms < old.until_ms:
            return
        length_ms = self._first_ms
        if old is not None:
            length_ms = min(self._max_ms, old.length_ms * 2)
        length_ms = max(length_ms, min_ms)
        self._suspicions[host] = _Suspicion(now_ms + length_ms, length_ms)

    def record_success(self, host: str) -> None:
        """Records a complete response, which ends a suspicion."""
        self._suspicions.pop(host, None)


def create_host_health(
    clock: base.Clock,
    first_ms: float = _FIRST_SUSPICION_MS,
    max_ms: float = _MAX_SUSPICION_MS,
    presence: _hostpresences.HostPresence | None = None,
) -> HostHealth:
    """Creates the health of hosts, none of which is suspect.

    Args:
      clock: The clock of the process.
      first_ms: How long a host is suspect after its first failure.
      max_ms: How long it is suspect at most after many failures in a row.
      presence: Which hosts are present, as absent ones are suspect; None if it
        is not known.
    """
    return HostHealth(clock, first_ms, max_ms, presence)
