"""The settings of the daemon, read from a JSON file."""

import attrs

import cowslipvalve_model as model

_ADDRESS = attrs.validators.matches_re(r"[^\s:/]+:[0-9]{1,5}")
_POSITIVE = attrs.validators.gt(0)


@attrs.frozen(kw_only=True)
class HeartbeatSettings:
    """Times that must be the same on all hosts of a deployment."""

    # The time between two heartbeats.
    interval_ms: int = attrs.field(default=250, validator=_POSITIVE)
    # Hosts whose last heartbeat is older than this get no more requests.
    dead_ms: int = attrs.field(default=900, validator=_POSITIVE)
    # Hosts whose last heartbeat is older than this lose their homes.
    lease_ms: int = attrs.field(default=1_500, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on the work of one host."""

    # The largest accepted body of a caller's request.
    max_body_bytes: int = attrs.field(default=65_536, validator=_POSITIVE)
    # The largest accepted reply of a backend server.
    max_reply_bytes: int = attrs.field(default=4_194_304, validator=_POSITIVE)
    # The largest size of all replies that are being received.
    max_total_reply_bytes: int = attrs.field(
        default=33_554_432, validator=_POSITIVE
    )
    # The most concurrent requests of callers.
    max_requests: int = attrs.field(default=2_000, validator=_POSITIVE)
    # At a stop, the time between becoming unready and refusing requests.
    balancer_wait_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    # The longest time for which a stop waits for running requests.
    drain_ms: int = attrs.field(default=30_000, validator=_POSITIVE)
    # The time for which an order's outcome is kept for resends.
    order_memory_ms: int = attrs.field(default=600_000, validator=_POSITIVE)
    # The time after which an unused ticket expires.
    ticket_ms: int = attrs.field(default=60_000, validator=_POSITIVE)

    def create_reply_memory(self) -> model.AnswerMemory:
        """Creates the count of all replies that the host is receiving."""
        return model.create_answer_memory(
            model.AnswerLimits(
                max_answer_bytes=self.max_reply_bytes,
                max_total_bytes=self.max_total_reply_bytes,
            )
        )


@attrs.frozen(kw_only=True)
class TlsSettings:
    """The PEM files for mutual TLS between the hosts."""

    # The certificate chain of this host.
    certificate: str
    # The private key of this host.
    key: str
    # The certificate authorities that issue accepted host certificates.
    authority: str


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one host."""

    # The name of the host, unique in the deployment.
    host: str = attrs.field(
        validator=attrs.validators.matches_re(r"[a-z0-9]([-a-z0-9.]*[a-z0-9])?")
    )
    # The failure domain of the host.
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    # The region of the failure domain.
    region: str = ""
    # The address that callers connect to, as host:port.
    caller_address: str = attrs.field(validator=_ADDRESS)
    # The address that the other hosts connect to, as host:port.
    peer_address: str = attrs.field(validator=_ADDRESS)
    # The address of the health and metrics endpoints, as host:port.
    operations_address: str = attrs.field(validator=_ADDRESS)
    # The URL of the platform's object API.
    platform_url: str = attrs.field(
        validator=attrs.validators.matches_re(r"https?://\S+")
    )
    # The peer addresses of some other hosts, needed to start while the platform
    # is unavailable.
    peers: tuple[str, ...] = ()
    # The times of heartbeats and leases.
    heartbeat: HeartbeatSettings = HeartbeatSettings()
    # The limits on the work of the host.
    limits: LimitSettings = LimitSettings()
    # The TLS files for traffic between hosts; set on all hosts or on none.
    tls: TlsSettings | None = None
    # The least severity of logged events: DEBUG, INFO, WARNING or ERROR.
    log_level: str = attrs.field(
        default="INFO",
        validator=attrs.validators.in_(("DEBUG", "INFO", "WARNING", "ERROR")),
    )

    def __attrs_post_init__(self) -> None:
        times = self.heartbeat
        if not 2 * times.interval_ms <= times.dead_ms < times.lease_ms:
            raise ValueError(
                "heartbeat must satisfy 2 * intervalMs <= deadMs < leaseMs"
            )


def load_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: The file is missing, is not JSON, or has invalid fields;
        the message names each field and says how to correct it.
    """
    return model.load_settings(Settings, path)
