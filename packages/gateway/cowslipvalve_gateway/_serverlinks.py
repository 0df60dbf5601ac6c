"""Follows which servers this host cannot reach, and why."""

from collections.abc import Collection

import cowslipvalve_base as base
from cowslipvalve_gateway import _servers


class ServerLinks:
    """Follows whether this host reaches the servers.

    Attributes:
      is_stranded: Whether this host reaches no server at all.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self.is_stranded = False

    def is_cut_off(
        self, service: str, views: Collection[_servers.ServerView]
    ) -> bool:
        """Whether requests to a service are to go through another host.

        That is so if this host reaches none of the service's servers, and
        other hosts reach them, or may do so.

        Args:
          service: The service.
          views: Its usable servers.
        """
        del service
        return bool(views) and self.is_stranded

    def record_detour(self, service: str, is_reached: bool) -> None:
        """Records whether another host reached a service for this one."""


def create_server_links(clock: base.Clock) -> ServerLinks:
    """Creates the links of a host, which count as sound."""
    return ServerLinks(clock)
