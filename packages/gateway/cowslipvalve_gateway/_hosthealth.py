"""Which other hosts have recently failed to ask a group."""

import attrs

import cowslipvalve_base as base

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

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._suspicions: dict[str, _Suspicion] = {}

    def is_suspect(self, host: str) -> bool:
        """Whether a host is not to be asked for now."""
        suspicion = self._suspicions.get(host)
        if suspicion is None:
            return False
        return self._clock.now_ms() < suspicion.until_ms

    def record_failure(self, host: str) -> None:
        """Records that a host refused a request, was silent or broke off."""
        now_ms = self._clock.now_ms()
        old = self._suspicions.get(host)
        if old is not None and now_ms < old.until_ms:
            return
        length_ms = _FIRST_SUSPICION_MS
        if old is not None:
            length_ms = min(_MAX_SUSPICION_MS, old.length_ms * 2)
        self._suspicions[host] = _Suspicion(now_ms + length_ms, length_ms)

    def record_success(self, host: str) -> None:
        """Records a complete response, which ends a suspicion."""
        self._suspicions.pop(host, None)


def create_host_health(clock: base.Clock) -> HostHealth:
    """Creates the health of hosts, none of which is suspect."""
    return HostHealth(clock)
