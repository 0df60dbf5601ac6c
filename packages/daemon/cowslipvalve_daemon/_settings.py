"""The settings of the daemon."""

import attrs

import cowslipvalve_model as model

_ADDRESS = attrs.validators.matches_re(r"[^\s:/]+:[0-9]{1,5}")
_POSITIVE = attrs.validators.gt(0)


@attrs.frozen(kw_only=True)
class HeartbeatSettings:
    """Times that all hosts of a deployment have to share."""

    # The time between two heartbeats.
    interval_ms: int = attrs.field(default=250, validator=_POSITIVE)
    # A host that is silent for this long is no longer asked.
    dead_ms: int = attrs.field(default=900, validator=_POSITIVE)
    # A host that is silent for this long has lost its homes.
    lease_ms: int = attrs.field(default=1_500, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Bounds on what one host takes on."""

    # The largest body of a caller's request.
    max_body_bytes: int = attrs.field(default=65_536, validator=_POSITIVE)
    # The most requests of callers at a time.
    max_requests: int = attrs.field(default=2_000, validator=_POSITIVE)
    # The time between not being ready and taking no more requests, at a stop.
    balancer_wait_ms: int = attrs.field(default=1_000, validator=_POSITIVE)
    # The longest time that a stop waits for running requests.
    drain_ms: int = attrs.field(default=30_000, validator=_POSITIVE)
    # The time for which the outcome of an order is kept for resends.
    order_memory_ms: int = attrs.field(default=600_000, validator=_POSITIVE)
    # The time after which an unused ticket is void.
    ticket_ms: int = attrs.field(default=60_000, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Files that protect the traffic between the hosts."""

    # The certificate of this host and its issuers.
    certificate: str
    # The private key of this host.
    key: str
    # The issuers whose hosts are let in.
    authority: str


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one host."""

    # The name of the host, unique in the deployment.
    host: str = attrs.field(
        validator=attrs.validators.matches_re(r"[a-z0-9]([-a-z0-9.]*[a-z0-9])?")
    )
    # The failure domain that the host is in.
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    # The region that the failure domain is in.
    region: str = ""
    # Where callers connect to.
    caller_address: str = attrs.field(validator=_ADDRESS)
    # Where the other hosts connect to.
    peer_address: str = attrs.field(validator=_ADDRESS)
    # Where health and metrics are read.
    operations_address: str = attrs.field(validator=_ADDRESS)
    # The URL of the platform's object API.
    platform_url: str = attrs.field(
        validator=attrs.validators.matches_re(r"https?://\S+")
    )
    # The peer addresses of some other hosts, for a start without platform.
    peers: tuple[str, ...] = ()
    # Times of heartbeats and leases.
    heartbeat: HeartbeatSettings = HeartbeatSettings()
    # Bounds on work.
    limits: LimitSettings = LimitSettings()
    # Protects the traffic between hosts; all hosts have it or none.
    tls: TlsSettings | None = None
    # One of DEBUG, INFO, WARNING, ERROR.
    log_level: str = attrs.field(
        default="INFO",
        validator=attrs.validators.in_(("DEBUG", "INFO", "WARNING", "ERROR")),
    )

    def __attrs_post_init__(self) -> None:
        times = self.heartbeat
        if not 2 * times.interval_ms <= times.dead_ms < times.lease_ms:
            raise ValueError(
                "write heartbeat so that 2 * intervalMs <= deadMs < leaseMs"
            )


def load_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: The file is missing, is not JSON, or has bad fields; the
        message names each field and says what to write.
    """
    return model.load_settings(Settings, path)
