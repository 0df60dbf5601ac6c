"""A host is cut off from the store for a second while others are gone."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))
import fleet as fleets  # noqa: E402

HOSTS = 6  # Two in each zone.
SEARCHERS = 5
RATE = 60.0
CUT_S = 1.1
ROUNDS = 3
SETTLE_S = 14.0
# A searcher goes on for drain-ms and "a little longer (at times many seconds)".
SERVES_ON_S = 8.0


class Link:
    """The way of one host to the store, which can be cut for a while."""

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.watches = 0
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 24
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def cut(self, for_s):
        self._open.clear()
        await asyncio.sleep(for_s)
        self._open.set()

    async def _serve(self, reader, writer):
        host, port = self._target.split(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._open.wait()
            store_reader, store_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._forward(reader, store_writer, True),
                self._forward(store_reader, writer, False),
            )
        writer.close()

    async def _forward(self, reader, writer, is_request):
        try:
            while data := await reader.read(65_536):
                self.watches += is_request and data.count(b"watch=")
                # Bytes that a cut holds back arrive after it.
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


async def load(fleet, until, sent):
    tasks = []
    number = 0
    start_s = fleet.record.now_s
    while not until.is_set():
        hosts = [h for h in fleet.hosts if h.process.returncode is None]
        host = hosts[number % len(hosts)]
        request_id = f"{number:016x}"
        sent[request_id] = (fleet.record.now_s, host)
        tasks.append(
            fleet.spawn(
                fleet.request,
                host,
                "GET",
                f"/orders/{number:04x}",
                request_id=request_id,
            )
        )
        number += 1
        due_s = start_s + number / RATE
        await asyncio.sleep(max(0.0, due_s - fleet.record.now_s))
    return await asyncio.gather(*tasks)


async def play(fleet):
    await fleet.store.start()
    route = fleets.create_route("orders", "/orders/", service="orders")
    fleet.store.put("config", "main", fleets.create_config(7, [route]))
    for number in range(SEARCHERS + ROUNDS):
        zone = list(fleets.ZONES)[number % 3]
        await fleet.add_searcher("orders", zone, work_s=0.01)
    original = fleets.Host.start

    async def start(host):
        if not hasattr(host, "link"):
            host.link = Link(fleet.store.address)
            await host.link.start()
            host.store_address = host.link.address
        await original(host)

    fleets.Host.start = start
    await fleet.start_hosts(HOSTS)
    sent = {}
    until = asyncio.Event()
    loading = fleet.spawn(load, fleet, until, sent)
    await asyncio.sleep(2.0)
    for host in fleet.hosts:
        host.link.watches = 0
    await asyncio.sleep(10.0)
    watchers = [host for host in fleet.hosts if host.link.watches]
    fleet.record.tell(
        "watch the store: " + ", ".join(host.name for host in watchers)
    )
    if len({host.zone for host in watchers}) != 3:
        raise fleets.CannotRunError("not one watcher in each zone")
    last = watchers[0]
    if fleet.has_trouble:
        for host in watchers[1:]:
            fleet.record.write(f"host {host.name} is lost for good")
            await host.kill()
        await asyncio.sleep(SETTLE_S)
    removed = {}
    for number in range(ROUNDS):
        searcher = fleet.searchers[number]
        cutting = None
        if fleet.has_trouble:
            fleet.record.write(f"host {last.name} is cut off from the store")
            cutting = fleet.spawn(last.link.cut, CUT_S)
        await asyncio.sleep(0.1)
        fleet.store.delete("servers", searcher.instance_id)
        removed[searcher.instance_id] = fleet.record.now_s
        fleet.record.write(f"entry of {searcher.instance_id} is removed")
        asyncio.get_running_loop().call_later(SERVES_ON_S, searcher.stop)
        await asyncio.sleep(9.0)
    until.set()
    results = await loading
    served = sum(result.is_served for result in results)
    fleet.record.tell(f"requests: {len(results)}, served {served}")
    late = []
    for arrival in fleet.arrivals:
        removed_s = removed.get(arrival.searcher)
        if removed_s is None or arrival.at_s <= removed_s + fleets.DRAIN_S:
            continue
        if sent[arrival.request_id][1] is last and fleet.has_trouble:
            continue  # Out of touch.
        late.append(arrival.at_s - removed_s)
    fleet.record.tell(
        f"{len(late)} requests reached searchers later than drain-ms after"
        f" their entries were removed, the latest {max(late, default=0.0):.1f}"
        " s after it"
    )
    return bool(late)


fleets.run_case(FOLDER, play)
