"""Division of a server's rate limit among the hosts that ask it.

Answers the load of many hosts on a server that takes few requests from all of
them together. The hosts agree on the division without talking to each other,
so that their sum holds whatever each of them is asked for.
"""

import itertools
from collections.abc import Iterable

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _resources

# The requests that may be sent at once after a pause: those of this time, and
# some more, so that a low limit can be divided among several hosts.
_BURST_S = 1.0
_BURST_REQUESTS = 4.0
# A host learns only from answers that a limit has ended, even one of 0.
_MIN_REQUESTS_PER_S = 0.25


@attrs.frozen(kw_only=True)
class LimitShare:
    """One host's share of a server's limit."""

    # The requests that the host may send per second on average.
    requests_per_s: float
    # The requests that it may send at once after a pause. It is 0 for a host
    # that has no share and asks one that has; else it is at least 1.
    burst: float


NO_SHARE = LimitShare(requests_per_s=0.0, burst=0.0)


def rank_holders(
    hosts: Iterable[_resources.HostRecord], key: str
) -> tuple[_resources.HostRecord, ...]:
    """Returns the hosts in the order in which they get a share.

    The first ones are of different failure domains, so that few shares suffice
    for a holder in each domain.

    Args:
      hosts: The hosts that ask the server.
      key: The server, which spreads the shares of several servers.
    """
    by_domain: dict[str, dict[str, _resources.HostRecord]] = {}
    for host in hosts:
        by_domain.setdefault(host.domain, {})[host.name] = host
    ranked_domains = [
        [
            by_domain[domain][name]
            for name in base.rank_names(by_domain[domain], key)
        ]
        for domain in base.rank_names(by_domain, key)
    ]
    rounds = itertools.zip_longest(*ranked_domains)
    return tuple(host for hosts in rounds for host in hosts if host)


def count_holders(requests_per_s: float, hosts: int) -> int:
    """Returns how many hosts share a limit; each can send one request at once.

    Args:
      requests_per_s: The limit of all hosts together.
      hosts: The number of hosts that ask the server.
    """
    return max(1, min(hosts, int(_compute_burst(requests_per_s))))


def compute_share(requests_per_s: float, holders: int) -> LimitShare:
    """Returns the share of each of the hosts that share a limit."""
    rate = max(requests_per_s, _MIN_REQUESTS_PER_S)
    return LimitShare(
        requests_per_s=rate / holders,
        burst=max(1.0, _compute_burst(requests_per_s) / holders),
    )


def _compute_burst(requests_per_s: float) -> float:
    return requests_per_s * _BURST_S + _BURST_REQUESTS
