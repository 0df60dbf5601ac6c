"""The properties, the faults and the counters of a stand-in server."""

import attrs

import cowslipvalve_model as model


@attrs.frozen(kw_only=True)
class ServerShape:
    """The capacity, the timing and the initial shards of a server."""

    name: str
    # The host and port to listen on.
    address: str
    # The shards that the server holds at the start.
    holdings: tuple[model.Holding, ...]
    # The number of batches and orders that run concurrently.
    slots: int = 2
    # The number of connections accepted at a time.
    max_connections: int = 25
    # The delay of the first request on a new connection, in ms.
    connect_ms: float = 6.0
    # The fixed processing time of a batch, in ms.
    batch_ms: float = 2.0
    # The additional processing time of each query in a batch, in ms.
    query_ms: float = 1.0
    # The rate that a cold server sustains, in queries per second.
    initial_rate: float = 10.0
    # The sustainable rate at which the server is warm, in queries per second.
    full_rate: float = 160.0
    # The time in which the sustainable rate doubles, in ms.
    doubling_ms: float = 500.0


@attrs.frozen(kw_only=True)
class Faults:
    """The faults in effect; each lasts until it is reset."""

    # The additional processing time of a straggling batch, in ms.
    straggle_ms: float = 0.0
    # The fraction of batches that straggle.
    straggle_share: float = 1.0
    # Whether all requests are refused because of overload.
    shed: bool = False
    # Whether all requests are refused because of a shutdown.
    draining: bool = False
    # Whether the state endpoint does not report draining.
    lies: bool = False
    # A query or order whose body contains this text crashes the server; no
    # request does if empty.
    crash_on: str = ""
    # Whether answers are those of another shard than the requested one.
    wrong_shard: bool = False
    # Whether answers lack their last hit.
    cut_hits: bool = False
    # Whether responses are cut off after half of their bytes.
    cut_text: bool = False
    # Whether each answer has the attempt id of the previous answer.
    crossed: bool = False
    # When the connection is closed without an answer: "before" or "after" the
    # request is processed; empty for never.
    lose: str = ""
    # Whether requests are accepted and their answers delayed by 30 s.
    hang: bool = False


@attrs.define
class Stats:
    """Counters since the creation of the server; a crash keeps them."""

    queries: int = 0
    orders: dict[str, int] = attrs.field(factory=dict)
    crashes: int = 0
    # Batches and orders that were refused because of overload.
    shed: int = 0
    cancelled: int = 0
    connections: int = 0
    refused_connections: int = 0
    # The highest number of batches and orders that ran concurrently.
    max_running: int = 0
    # Batches and orders that arrived while all slots were in use.
    overruns: int = 0
    # Batches that reached their deadline before their work ended.
    expired: int = 0
