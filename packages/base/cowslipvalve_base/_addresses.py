"""Parsing of network addresses of the form host:port."""

import re

from cowslipvalve_base import _errors

# An IP address, one of version 6 in brackets, or a host name.
_ADDRESS = re.compile(
    r"(?:[0-9A-Za-z.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})"
)
_MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into its IP address or host name and its port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(address: str) -> None:
    """Checks that an address has a host that can be named and a port.

    Raises:
      InputError: The address is not HOST:PORT, or no connection can have it.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[1]) <= _MAX_PORT:
        raise _errors.InputError(
            f"address is not HOST:PORT: {address!r:.60}", step="decode"
        )
