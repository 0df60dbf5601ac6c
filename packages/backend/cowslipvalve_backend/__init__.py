"""Client of backend servers."""

from cowslipvalve_backend._client import ServerClient
from cowslipvalve_backend._client import create_server_client

__all__ = [
    "ServerClient",
    "create_server_client",
]
