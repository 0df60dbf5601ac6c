"""Addresses of IP and port."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP address or host name and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
