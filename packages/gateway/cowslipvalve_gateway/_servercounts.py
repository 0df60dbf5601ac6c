"""Counts of servers and connections for metrics."""

from collections.abc import Iterable

from cowslipvalve_gateway import _servers


def count_ejected(views: Iterable[_servers.ServerView]) -> int:
    """Returns the number of servers that are ejected for failures."""
    return sum(view.is_ejected for view in views)


def count_cold(views: Iterable[_servers.ServerView]) -> int:
    """Returns the number of servers that are warming up."""
    return sum(view.is_cold for view in views)


def count_connections(views: Iterable[_servers.ServerView]) -> int:
    """Returns the number of open connections to servers."""
    return sum(view.pool.open_count for view in views)
