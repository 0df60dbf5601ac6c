"""A crashing request, after the hosts that judge such requests were lost."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))
import fleet as fleets  # noqa: E402

DEADLY = "/orders/7f3a?week=49"
HOSTS = 8  # As on the small sites: 3, 3 and 2 in the zones.
SEARCHERS = 9
BACK_S = 2.0  # "back after some seconds"
INTERVAL_S = 1.5
PLAY_S = 20.0
OTHERS_PER_S = 25
LOSS_GAP_S = 5.0
SETTLE_S = 12.0
MAX_RETRIES = 3  # The rule's bound.


class Link:
    """The way of one host to the store, which counts its watches."""

    def __init__(self, target):
        self._target = target
        self.watches = 0
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 24
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        host, port = self._target.split(":")
        try:
            store_reader, store_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._forward(reader, store_writer, True),
                self._forward(store_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()

    async def _forward(self, reader, writer, is_request):
        try:
            while data := await reader.read(65_536):
                self.watches += is_request and data.count(b"watch=")
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


def create_run(play):
    """Returns what a searcher does with a request."""

    async def run(searcher, request, reader, writer):
        if request.line.split(" ")[1] != DEADLY:
            return False
        await asyncio.sleep(0.01)
        searcher.crash(BACK_S)
        return None

    return run


async def find_watchers(fleet):
    """Returns the hosts that watch the store, one in each zone."""
    for host in fleet.hosts:
        host.link.watches = 0
    await asyncio.sleep(10.0)
    watchers = [host for host in fleet.hosts if host.link.watches]
    fleet.record.tell(
        "watch the store: " + ", ".join(host.name for host in watchers)
    )
    if len({host.zone for host in watchers}) != 3 or len(watchers) != 3:
        raise fleets.CannotRunError("not one watcher in each zone")
    return watchers


async def play(fleet):
    await fleet.store.start()
    route = fleets.create_route("orders", "/orders/", service="orders")
    fleet.store.put("config", "main", fleets.create_config(7, [route]))
    for number in range(SEARCHERS):
        zone = list(fleets.ZONES)[number % 3]
        await fleet.add_searcher("orders", zone, run=create_run(fleet))
    original = fleets.Host.start

    async def start(host):
        if not hasattr(host, "link"):
            host.link = Link(fleet.store.address)
            await host.link.start()
            host.store_address = host.link.address
        await original(host)

    fleets.Host.start = start
    await fleet.start_hosts(HOSTS)
    watchers = await find_watchers(fleet)
    if fleet.has_trouble:
        for host in watchers:
            fleet.record.write(f"host {host.name} is lost for good")
            await host.kill()
            await asyncio.sleep(LOSS_GAP_S)
    await asyncio.sleep(SETTLE_S)
    hosts = [h for h in fleet.hosts if h.process.returncode is None]
    others = []
    begin_s = fleet.record.now_s
    number = deadly = 0
    while fleet.record.now_s - begin_s < PLAY_S:
        if number % int(INTERVAL_S * OTHERS_PER_S) == 0:
            host = hosts[deadly % len(hosts)]
            fleet.spawn(fleet.request, host, "GET", DEADLY)
            deadly += 1
        path = f"/orders/{number:04x}"
        host = hosts[number % len(hosts)]
        others.append(fleet.spawn(fleet.request, host, "GET", path))
        number += 1
        await asyncio.sleep(1 / OTHERS_PER_S)
    results = await asyncio.gather(*others)
    crashed = [a for a in fleet.arrivals if a.target == DEADLY]
    served = sum(result.is_served for result in results)
    fleet.record.tell(f"other requests: {len(results)}, served {served}")
    times = ", ".join(f"{a.at_s - begin_s:.1f}" for a in crashed)
    fleet.record.tell(f"the request reached searchers after {times} s")
    late_s = crashed[2].at_s + fleets.CONTACT_S
    early = {a.request_id for a in crashed if a.at_s <= late_s}
    # An attempt counts when it was sent, so not one that began before.
    late = {a.request_id for a in crashed if a.at_s > late_s} - early
    fleet.record.tell(
        f"third crash after {crashed[2].at_s - begin_s:.1f} s; later than"
        f" contact-ms after it the request reached searchers in {len(late)}"
        f" attempts, at most {MAX_RETRIES} are allowed"
    )
    return len(late) > MAX_RETRIES


fleets.run_case(FOLDER, play)
