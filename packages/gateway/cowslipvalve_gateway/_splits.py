"""Weighted distribution of a route's requests among services."""

from collections.abc import Iterable

from cowslipvalve_gateway import _resources


class Splitter:
    """Distributes requests among services in proportion to their weights.

    The method is smooth weighted round robin: in any run of requests, the count
    of each service is within one request of its share. This holds on each
    host, so the shares also hold over all hosts together.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[_resources.Share, ...], dict[str, float]] = {}

    def retain_routes(self, routes: Iterable[_resources.Route]) -> None:
        """Discards the credits of all but the given routes."""
        splits = {route.split for route in routes}
        self._credits = {
            split: credit_by_service
            for split, credit_by_service in self._credits.items()
            if split in splits
        }

    def choose(self, route: _resources.Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.split) == 1:
            return route.split[0].service
        credit_by_service = self._credits.setdefault(
            route.split, {share.service: 0.0 for share in route.split}
        )
        for share in route.split:
            credit_by_service[share.service] += share.weight
        best = max(
            credit_by_service, key=lambda service: credit_by_service[service]
        )
        credit_by_service[best] -= sum(share.weight for share in route.split)
        return best


def create_splitter() -> Splitter:
    """Creates a splitter without credits."""
    return Splitter()
