"""HTTP transport between the hosts."""

import ssl

import aiohttp
import attrs

import cowslipvalve_model as model
from cowslipvalve_daemon import _settings

_KEEP_ALIVE_S = 30
_CONNECT_TIMEOUT_MS = 1_000


@attrs.frozen
class Transport:
    """The client and server parts of the transport between hosts."""

    # The scheme of URLs, http or https.
    scheme: str
    # The TLS context of the peer interface, or None without TLS.
    server_context: ssl.SSLContext | None
    # The HTTP client session for requests to peers.
    session: aiohttp.ClientSession


def _create_tls_context(
    tls: _settings.TlsSettings, purpose: ssl.Purpose
) -> ssl.SSLContext:
    """Returns a context that accepts only certificates of the authority."""
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    context.verify_mode = ssl.CERT_REQUIRED
    # Peers are addressed by IP addresses that change, so certificates cannot
    # name them; a certificate of the authority is sufficient.
    context.check_hostname = False
    return context


def create_transport(settings: _settings.Settings) -> Transport:
    """Creates the transport, with TLS if the settings have TLS files.

    Raises:
      SettingsError: A certificate or key file cannot be loaded.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=model.to_seconds(_CONNECT_TIMEOUT_MS)
    )
    server_context = client_context = None
    if settings.tls is not None:
        try:
            server_context = _create_tls_context(
                settings.tls, ssl.Purpose.CLIENT_AUTH
            )
            client_context = _create_tls_context(
                settings.tls, ssl.Purpose.SERVER_AUTH
            )
        except OSError as error:
            raise model.SettingsError(
                f"tls: {error}; set readable PEM files", step="load-tls"
            ) from error
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=_KEEP_ALIVE_S,
        ssl=client_context if client_context is not None else True,
    )
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    scheme = "https" if settings.tls is not None else "http"
    return Transport(scheme, server_context, session)
