"""Measures how costs grow: python -m cowslipvalve_standins.slopes [NAME ...].

A straight line is fitted to each measurement, which has at least four points.
The residual is the root mean square error, as a fraction of the mean cost.
"""

import asyncio
import functools
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

import cowslipvalve_model as model
import cowslipvalve_peers as peers
import cowslipvalve_policy as policy
from cowslipvalve_daemon import _partials
from cowslipvalve_standins import _clocks
from cowslipvalve_standins import _configurationcosts
from cowslipvalve_standins import _data
from cowslipvalve_standins import _deployments
from cowslipvalve_standins import _fits
from cowslipvalve_standins import _livecosts
from cowslipvalve_standins import _timings

_US_PER_S = 1_000_000
_MIN_TIME_S = 0.2
_TOP_HITS = 10


def _create_table(hosts: int, servers: int) -> peers.RecordTable:
    table = peers.create_record_table()
    for number in range(hosts):
        record = model.HostRecord(
            host=f"host-{number}",
            incarnation=1,
            failure_domain=f"domain-{number % 6}",
            region="region",
            address=f"10.0.0.1:{number}",
            state=model.HostState.LIVE,
        )
        table.write(model.VersionedRecord(1, host=record))
    for number in range(servers):
        snapshot = model.Snapshot("search", 1, 360)
        server = model.ServerRecord(
            server=f"server-{number}",
            home=f"host-{number % max(1, hosts)}",
            incarnation=1,
            condition=model.ServerCondition.SERVING,
            holdings=(model.Holding(snapshot, (number % 360,)),),
        )
        table.write(model.VersionedRecord(1, server=server))
    return table


def _create_heartbeat(host_count: int, relayed_count: int) -> model.Heartbeat:
    names = [f"host-{number}" for number in range(host_count)]
    seen = {name: (1_700_000_000_000, 1_000) for name in names}
    beats = tuple(
        model.HeartbeatRecord(
            name, 1_700_000_000_000, 1_000, 7, model.HostState.LIVE, seen
        )
        for name in names
    )
    return model.Heartbeat(
        sender="host-0",
        incarnation=1_700_000_000_000,
        number=3,
        beats=beats[: 1 + relayed_count],
    )


def measure_heartbeat() -> None:
    """Measures a heartbeat by the number of hosts in the failure domain.

    In normal operation a heartbeat contains only the record of its sender.
    During a network partition inside the failure domain, it contains the
    records of all hosts.
    """
    _measure_heartbeat("calm", lambda host_count: 0)
    _measure_heartbeat("passing all on", lambda host_count: host_count - 1)


def _measure_heartbeat(name: str, count_relayed: Callable[[int], int]) -> None:
    costs, sizes = [], []
    for host_count in (2, 4, 8, 16, 32):
        message = _create_heartbeat(host_count, count_relayed(host_count))
        text = model.encode(message)
        keeper = peers.create_lease_keeper(
            _clocks.create_manual_clock(),
            peers.LeaseTimes(heartbeat_ms=250, dead_ms=900, lease_ms=1_500),
            "me",
            1,
        )

        def work(
            message: model.Heartbeat = message,
            text: bytes = text,
            keeper: peers.LeaseKeeper = keeper,
        ) -> None:
            model.encode(message)
            keeper.merge(model.decode(model.Heartbeat, text).beats)

        costs.append((float(host_count), _timings.time_us(work)))
        sizes.append((float(host_count), float(len(text))))
    _fits.report_fit(f"heartbeat, {name}: both ends", "us", "host", costs)
    _fits.report_fit(f"heartbeat, {name}: size", "B", "host", sizes)


def measure_table() -> None:
    """Measures the record table by the number of servers."""
    memory_sizes, unchanged_costs, changed_costs = [], [], []
    for servers in (500, 1_000, 2_000, 5_600):
        tracemalloc.start()
        table = _create_table(servers // 6, servers)
        memory_sizes.append(
            (float(servers), tracemalloc.get_traced_memory()[0] / 1e3)
        )
        tracemalloc.stop()
        change = table.last_change
        unchanged_costs.append(
            (
                float(servers),
                _timings.time_us(
                    functools.partial(table.collect_changes, change, "x", 500)
                ),
            )
        )
        changed_costs.append(
            (
                float(servers),
                _timings.time_us(
                    functools.partial(
                        table.collect_changes, change - 1, "x", 500
                    )
                ),
            )
        )
    _fits.report_fit("table: memory", "kB", "server", memory_sizes)
    _fits.report_fit("table: nothing new", "us", "server", unchanged_costs)
    _fits.report_fit("table: one new record", "us", "server", changed_costs)


def _create_query(targets: int, number: int = 1) -> model.HomeQuery:
    return model.HomeQuery(
        query_id=str(number),
        request_id="host-1-18ee0127800c9b59",
        snapshot=model.Snapshot("search", 1, 360),
        fingerprint="0b5014971f46aa46bc4d2d6e68282430",
        body={"text": "elk from the north", "page": 1},
        remaining_ms=100.0,
        top_hits=_TOP_HITS,
        targets=tuple(
            model.QueryTarget(f"server-{index}", (index,))
            for index in range(targets)
        ),
        trusted=True,
    )


def _create_partial(shards: int, number: int = 1) -> model.PartialAnswer:
    snapshot = model.Snapshot("search", 1, 360)
    hits = [
        hit
        for index in range(shards)
        for hit in _data.find_hits(snapshot, index, "elk", _TOP_HITS)
    ]
    results = tuple(
        model.ShardResult(
            index, f"server-{index}", model.Outcome.ANSWERED, total=20
        )
        for index in range(shards)
    )
    return model.PartialAnswer(
        str(number), snapshot, results, _partials.merge_hits(hits, _TOP_HITS)
    )


def measure_entry_leg() -> None:
    """Measures the messages between entry host and home by batch size."""
    for shards in (1, 6, 24):
        points = []
        for batch in (1, 10, 50, 100):
            queries = model.QueryBatch(
                "host-1", tuple(_create_query(shards, n) for n in range(batch))
            )
            partials = model.PartialBatch(
                tuple(_create_partial(shards, n) for n in range(batch))
            )

            def work(
                queries: model.QueryBatch = queries,
                partials: model.PartialBatch = partials,
            ) -> None:
                model.decode(model.QueryBatch, model.encode(queries))
                got = model.decode(model.PartialBatch, model.encode(partials))
                for partial in got.partials:
                    _partials.merge_hits(partial.hits, _TOP_HITS)

            points.append((float(batch), _timings.time_us(work)))
        _fits.report_fit(
            f"entry leg, both ends, {shards} shards a query",
            "us",
            "query in the batch",
            points,
        )


def measure_server_leg() -> None:
    """Measures a home's cost of the messages to a server by batch size."""
    points = []
    snapshot = model.Snapshot("search", 1, 360)
    hits = _data.find_hits(snapshot, 1, "elk", _TOP_HITS)
    for batch in (1, 4, 16, 32):
        queries = tuple(
            model.ShardQuery(
                "r", f"a{n}", snapshot, 1, {"text": "elk"}, 90.0, 10
            )
            for n in range(batch)
        )
        answers = tuple(
            model.ShardAnswer(
                "r", f"a{n}", snapshot, 1, model.Outcome.ANSWERED,
                total=20, hit_count=len(hits), hits=hits,
            )
            for n in range(batch)
        )  # fmt: skip
        text = model.encode(model.ServerReply("boot", answers))

        def work(
            queries: tuple[model.ShardQuery, ...] = queries, text: bytes = text
        ) -> None:
            model.encode(model.ServerBatch(queries))
            model.decode(model.ServerReply, text)

        points.append((float(batch), _timings.time_us(work)))
    _fits.report_fit(
        "server leg, home's end", "us", "shard query in the batch", points
    )


def measure_exchange() -> None:
    """Measures an HTTP exchange and a WebSocket message by their size."""
    asyncio.run(_measure_exchanges())


async def _measure_exchanges() -> None:
    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=await request.read())

    async def echo(request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        async for message in socket:
            await socket.send_bytes(message.data)
        return socket

    app = web.Application(client_max_size=1 << 24)
    app.router.add_post("/", answer)
    app.router.add_get("/ws", echo)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    port = _deployments.choose_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    url = f"http://127.0.0.1:{port}"
    async with aiohttp.ClientSession() as session:

        async def post(body: bytes) -> None:
            async with session.post(url + "/", data=body) as response:
                await response.read()

        await _time_messages("HTTP exchange, both ends", post)
        async with session.ws_connect(url + "/ws", compress=0) as socket:

            async def send(body: bytes) -> None:
                await socket.send_bytes(body)
                await socket.receive_bytes()

            await _time_messages("WebSocket message and answer", send)
    await runner.cleanup()


async def _time_messages(
    name: str, send: Callable[[bytes], Awaitable[None]]
) -> None:
    points = []
    for size in (200, 2_000, 20_000, 100_000):
        body = b"x" * size
        await send(body)
        start = time.process_time()
        for _ in range(300):
            await send(body)
        cost_us = (time.process_time() - start) / 300 * _US_PER_S
        points.append((size / 1e3, cost_us))
    _fits.report_fit(name, "us", "kB", points)


def measure_plan() -> None:
    """Measures the collection of snapshots from records by shard count."""
    points = []
    for shards in (20, 90, 180, 360):
        table = _create_table(100, shards * 2)
        records = [
            entry.server
            for entry in table.entries("server")
            if entry.server is not None
        ]
        points.append(
            (
                float(shards),
                _timings.time_us(
                    functools.partial(
                        policy.collect_snapshots, "search", records
                    )
                ),
            )
        )
    _fits.report_fit(
        "plan: snapshots from records, per change", "us", "shard", points
    )


_MEASUREMENTS: dict[str, Callable[[], None]] = {
    "heartbeat": measure_heartbeat,
    "table": measure_table,
    "entry-leg": measure_entry_leg,
    "server-leg": measure_server_leg,
    "exchange": measure_exchange,
    "configuration": _configurationcosts.measure_configuration,
    "plan": measure_plan,
    "idle": _livecosts.measure_idle,
    "load": _livecosts.measure_load,
}


def main() -> None:
    """Runs the named measurements, or all of them."""
    print("| what | points | fit | residual |\n|---|---|---|---|", flush=True)
    for name, measure in _MEASUREMENTS.items():
        if len(sys.argv) == 1 or name in sys.argv[1:]:
            measure()


if __name__ == "__main__":
    main()
