"""Weighted splits of a route's requests."""

from collections.abc import Iterable

from cowslipvalve_gateway import _resources


class Splitter:
    """Deals out requests in the proportions of the weights.

    Smooth weighted round robin: in any run of requests each service has its
    share to within one request, on each host and so on all together.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[_resources.Share, ...], dict[str, float]] = {}

    def retain_routes(self, routes: Iterable[_resources.Route]) -> None:
        """Forgets what is owed to the services of all other routes."""
        splits = {route.split for route in routes}
        self._credits = {
            split: credit_by_service
            for split, credit_by_service in self._credits.items()
            if split in splits
        }

    def choose(self, route: _resources.Route) -> str:
        """Returns the service of the next request of a route."""
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
    """Returns a splitter that has dealt out nothing yet."""
    return Splitter()
