"""The shape, the faults and the counts of the server stand-in."""

import attrs

import cowslipvalve_model as model


@attrs.frozen(kw_only=True)
class ServerShape:
    """What a stand-in server is like."""

    # The name of the server.
    name: str
    # Where it listens.
    address: str
    # The shards it holds at the start.
    holdings: tuple[model.Holding, ...]
    # The number of batches that run at a time.
    slots: int = 2
    # The number of connections that it takes.
    max_connections: int = 25
    # The time of a new connection, in ms.
    connect_ms: float = 6.0
    # The time of a batch, in ms.
    batch_ms: float = 2.0
    # The time of each query in a batch, in ms.
    query_ms: float = 1.0
    # The rate that it bears when cold, in queries a second.
    initial_rate: float = 10.0
    # The rate from which on it is warm.
    full_rate: float = 160.0
    # The time in which the borne rate doubles, in ms.
    doubling_ms: float = 500.0


@attrs.frozen(kw_only=True)
class Faults:
    """What goes wrong, until it is switched off."""

    # The extra time of a straggling batch, in ms.
    straggle_ms: float = 0.0
    # The share of batches that straggle.
    straggle_share: float = 1.0
    # Whether all requests are refused for load.
    shed: bool = False
    # Whether all requests are refused for a shutdown.
    draining: bool = False
    # Whether the state endpoint hides draining.
    lies: bool = False
    # A query or order whose text holds this crashes the server.
    crash_on: str = ""
    # Answers speak of another shard than the one that was asked.
    wrong_shard: bool = False
    # Answers lack their last hit.
    cut_hits: bool = False
    # The text of an answer ends in the middle.
    cut_text: bool = False
    # Answers carry each other's or an older attempt's id.
    crossed: bool = False
    # The connection is lost: "" never, "before" or "after" the work.
    lose: str = ""
    # Whether requests are taken and never answered.
    hang: bool = False


@attrs.define
class Stats:
    """What the server has done since it was made."""

    queries: int = 0
    orders: dict[str, int] = attrs.field(factory=dict)
    crashes: int = 0
    shed: int = 0
    cancelled: int = 0
    connections: int = 0
    refused_connections: int = 0
    max_running: int = 0
    overruns: int = 0
    expired: int = 0
