"""Measures how configuration costs grow with the number of servers."""

import attrs
import functools
import tracemalloc
from collections.abc import Iterable

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_daemon import _compilers
from cowslipvalve_standins import _fits
from cowslipvalve_standins import _timings


def measure_configuration() -> None:
    """Measures size, memory, decoding and deltas by the number of servers."""
    encoded_sizes, decode_costs, delta_costs, memory_sizes = [], [], [], []
    for servers in (500, 1_000, 2_000, 5_600):
        tracemalloc.start()
        old = _create_configuration(servers)
        memory_sizes.append(
            (float(servers), tracemalloc.get_traced_memory()[0] / 1e3)
        )
        tracemalloc.stop()
        delta = model.compute_full_delta(old)
        text = model.encode(delta)
        encoded_sizes.append((float(servers), len(text) / 1e3))
        decode_costs.append(
            (
                float(servers),
                _timings.time_us(
                    functools.partial(
                        model.decode, model.ConfigurationDelta, text
                    )
                ),
            )
        )
        new = attrs.evolve(old, number=2, searches={})
        delta_costs.append(
            (
                float(servers),
                _timings.time_us(
                    functools.partial(model.compute_delta, old, new)
                ),
            )
        )
    _fits.report_fit("configuration: size", "kB", "server", encoded_sizes)
    _fits.report_fit("configuration: memory", "kB", "server", memory_sizes)
    _fits.report_fit(
        "configuration: decode the whole", "us", "server", decode_costs
    )
    _fits.report_fit(
        "configuration: compute a change", "us", "server", delta_costs
    )


def _create_configuration(servers: int) -> model.Configuration:
    items = [
        _compilers.check_resource(item)
        for item in _create_server_objects(servers)
    ]
    return model.Configuration(
        number=1,
        servers={
            item.metadata.name: item
            for item in items
            if isinstance(item, model.BackendServer)
        },
        searches={
            "search": model.Search(metadata=model.Metadata(name="search"))
        },
    )


def _create_server_objects(
    servers: int,
) -> Iterable[store.StoredObject]:
    for number in range(servers):
        yield store.create_object(
            "BackendServer",
            f"server-{number}",
            {
                "failureDomain": f"domain-{number % 6}",
                "address": f"10.0.0.1:{number}",
                "searches": ["search"],
            },
        )
