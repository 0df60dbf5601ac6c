"""The sites of the users, scaled down to one machine."""

import attrs

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _servertypes

FIRST_SNAPSHOT = 1


@attrs.frozen(kw_only=True)
class SearchShape:
    """A search and the servers that hold its shards."""

    name: str
    # The number of shards; each shard is a service.
    shards: int
    # The number of servers of each shard, in different failure domains.
    replicas: int = 2
    # The spec of the Search resource, as JSON data.
    spec: dict[str, object] = attrs.field(factory=dict)
    # The number of slots of each server.
    slots: int = 2
    # The maximum number of connections of each server.
    max_connections: int = 25
    # The delay of the first request on a new connection, in ms.
    connect_ms: float = 6.0


@attrs.frozen(kw_only=True)
class SiteShape:
    """The failure domains, hosts and searches of a user."""

    # Pairs of a failure domain and its region.
    domains: tuple[tuple[str, str], ...]
    # The number of hosts in all domains together.
    hosts: int
    searches: tuple[SearchShape, ...]
    # The rate that a cold server sustains, in queries per second.
    initial_rate: float = 10.0
    # The sustainable rate at which a server is warm, in queries per second.
    full_rate: float = 160.0
    # The time in which the sustainable rate doubles, in ms.
    doubling_ms: int = 500


def create_deployment_shape(
    site: SiteShape, **settings: object
) -> _deployments.DeploymentShape:
    """Returns a deployment of a site, with servers on free ports.

    Args:
      site: The site to deploy.
      **settings: Settings of all hosts.
    """
    resources = [
        store.create_object("FailureDomain", name, {"region": region}, "setup")
        for name, region in site.domains
    ]
    servers: list[tuple[str, _servertypes.ServerShape]] = []
    count = sum(s.shards * s.replicas for s in site.searches)
    ports = _deployments.choose_ports(count)
    for search in site.searches:
        resources.append(
            store.create_object("Search", search.name, search.spec, "setup")
        )
        for index in range(search.shards):
            for replica in range(search.replicas):
                domain = site.domains[(index + replica) % len(site.domains)][0]
                shape = _create_server(
                    site, search, index, replica, ports.pop()
                )
                servers.append((domain, shape))
                resources.append(
                    _create_server_resource(site, search, domain, shape)
                )
    hosts = tuple(_create_host(site, number) for number in range(site.hosts))
    return _deployments.DeploymentShape(
        hosts=hosts,
        servers=tuple(servers),
        resources=tuple(resources),
        settings=settings,
    )


def _create_host(site: SiteShape, number: int) -> _deployments.HostShape:
    domain, region = site.domains[number % len(site.domains)]
    name = f"{domain}-{number // len(site.domains) + 1}"
    return _deployments.HostShape(
        name=name, failure_domain=domain, region=region
    )


def _create_server(
    site: SiteShape, search: SearchShape, index: int, replica: int, port: int
) -> _servertypes.ServerShape:
    snapshot = model.Snapshot(search.name, FIRST_SNAPSHOT, search.shards)
    return _servertypes.ServerShape(
        name=f"{search.name}-{index}-{'abcdef'[replica]}",
        address=f"127.0.0.1:{port}",
        holdings=(model.Holding(snapshot, (index,)),),
        slots=search.slots,
        max_connections=search.max_connections,
        connect_ms=search.connect_ms,
        initial_rate=site.initial_rate,
        full_rate=site.full_rate,
        doubling_ms=site.doubling_ms,
    )


def _create_server_resource(
    site: SiteShape,
    search: SearchShape,
    domain: str,
    shape: _servertypes.ServerShape,
) -> store.StoredObject:
    spec = {
        "failureDomain": domain,
        "address": shape.address,
        "searches": [search.name],
        "slots": search.slots,
        "maxConnections": search.max_connections,
        "warmUp": {
            "initialRate": site.initial_rate,
            "fullRate": site.full_rate,
            "doublingMs": site.doubling_ms,
        },
    }
    return store.create_object("BackendServer", shape.name, spec, "setup")


def create_haapaniemi(
    shards: int = 6, hosts: int = 8, extra_spec: dict[str, object] | None = None
) -> SiteShape:
    """Returns the site of a game dealer, who prefers coverage to latency."""
    spec: dict[str, object] = {
        "deadlineMs": 1_000,
        "minCoverage": 0.5,
        **(extra_spec or {}),
    }
    return SiteShape(
        domains=(
            ("seinajoki", "pohjanmaa"),
            ("kuopio", "savo"),
            ("rovaniemi", "lappi"),
        ),
        hosts=hosts,
        searches=(
            SearchShape(name="price-lists", shards=shards, spec=spec),
            SearchShape(
                name="orders",
                shards=1,
                replicas=3,
                spec={"kind": "order", "orderGuard": "ticket"},
                max_connections=110,
                connect_ms=1.0,
            ),
            SearchShape(
                name="weighings",
                shards=1,
                replicas=3,
                spec={"kind": "order", "orderGuard": "claim"},
                max_connections=110,
                connect_ms=1.0,
            ),
        ),
    )


def create_kestrelford(
    shards: int = 6, hosts: int = 8, extra_spec: dict[str, object] | None = None
) -> SiteShape:
    """Returns the site of a surface finisher, who prefers low latency."""
    spec: dict[str, object] = {
        "deadlineMs": 500,
        "patienceMs": 60,
        "minCoverage": 0.5,
        **(extra_spec or {}),
    }
    return SiteShape(
        domains=(
            ("mid-a", "midlands"),
            ("ne-a", "north-east"),
            ("wal-a", "wales"),
        ),
        hosts=hosts,
        searches=(
            SearchShape(
                name="order-desk",
                shards=shards,
                spec=spec,
                slots=3,
                max_connections=30,
            ),
            SearchShape(
                name="job-archive",
                shards=1,
                replicas=3,
                spec={"deadlineMs": 20_000, "maxDeadlineMs": 60_000},
                slots=6,
                max_connections=50,
                connect_ms=1.0,
            ),
        ),
    )
