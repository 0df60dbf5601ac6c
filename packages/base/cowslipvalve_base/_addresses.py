"""Parsing of network addresses of the form host:port."""


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into its IP address or host name and its port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
