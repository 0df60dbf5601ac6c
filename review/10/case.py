"""All hosts are killed after they have stopped a crashing request."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))
import fleet as fleets  # noqa: E402

DEADLY = "/orders/7f3a?week=49"
SEARCHERS = 6
BACK_S = 2.0  # "back after some seconds"
INTERVAL_S = 8.0
KILL_S = 25.0
DOWN_S = 0.5
PLAY_S = 55.0
# When the request comes: 20 s at a time.
WINDOWS_S = ((0.0, 20.0), (30.0, 50.0))
OTHERS_PER_S = 10
MAX_RETRIES = 3  # The rule's bound.


def create_run(play):
    """Returns what a searcher does with a request."""

    async def run(searcher, request, reader, writer):
        if request.line.split(" ")[1] != DEADLY:
            return False
        await asyncio.sleep(0.01)
        searcher.crash(BACK_S)
        return None

    return run


async def come(fleet, number, sent):
    """Sends the request as a client does, which retries once at once."""
    for attempt in range(2):
        host = fleet.hosts[(number + attempt) % len(fleet.hosts)]
        request_id = f"dead{number:04x}{attempt}"
        sent[request_id] = fleet.record.now_s
        result = await fleet.request(
            host, "GET", DEADLY, request_id=request_id
        )
        after_s = float(result.headers.get("retry-after", 0))
        # Clients honour Retry-After up to a third of the time left.
        if result.is_served or after_s > 1.0:
            return
        await asyncio.sleep(after_s)


async def kill_all(fleet, killed_s):
    """Kills all hosts at once, and starts them again."""
    await asyncio.sleep(KILL_S)
    fleet.record.write("all hosts are killed")
    killed_s.append(fleet.record.now_s)
    for host in fleet.hosts:
        host.process.kill()
    for host in fleet.hosts:
        await host.process.wait()
    await asyncio.sleep(DOWN_S)
    for host in fleet.hosts:
        await host.start()
    killed_s.append(fleet.record.now_s)


async def play(fleet):
    await fleet.store.start()
    route = fleets.create_route("orders", "/orders/", service="orders")
    fleet.store.put("config", "main", fleets.create_config(7, [route]))
    for number in range(SEARCHERS):
        zone = list(fleets.ZONES)[number % 3]
        await fleet.add_searcher("orders", zone, run=create_run(fleet))
    await fleet.start_hosts(3)
    begin_s = fleet.record.now_s
    killed_s = []
    sent = {}
    if fleet.has_trouble:
        fleet.spawn(kill_all, fleet, killed_s)
    others = []
    number = 0
    next_s = 0.0
    while fleet.record.now_s - begin_s < PLAY_S:
        host = fleet.hosts[number % 3]
        now_s = fleet.record.now_s - begin_s
        if now_s >= next_s:
            if any(start <= next_s < end for start, end in WINDOWS_S):
                fleet.spawn(come, fleet, int(next_s / INTERVAL_S), sent)
            next_s += INTERVAL_S
        path = f"/orders/{number:04x}"
        others.append(fleet.spawn(fleet.request, host, "GET", path))
        number += 1
        await asyncio.sleep(1 / OTHERS_PER_S)
    results = await asyncio.gather(*others)
    crashed = [a for a in fleet.arrivals if a.target == DEADLY]
    served = sum(result.is_served for result in results)
    fleet.record.tell(f"other requests: {len(results)}, served {served}")
    times = ", ".join(f"{a.at_s - begin_s:.1f}" for a in crashed)
    fleet.record.tell(f"the request reached searchers after {times} s")
    third_s = crashed[2].at_s
    late = set()
    for arrival in crashed:
        at_s = sent[arrival.request_id]
        if at_s <= third_s + fleets.CONTACT_S:
            continue
        # Hosts are not in touch until contact-ms after their start.
        if killed_s and killed_s[0] <= at_s <= killed_s[-1] + fleets.CONTACT_S:
            continue
        late.add(arrival.request_id)
    fleet.record.tell(
        f"third crash after {third_s - begin_s:.1f} s; sent by hosts in touch"
        f" later than contact-ms after it, {len(late)} attempts reached"
        f" searchers, at most {MAX_RETRIES} are allowed"
    )
    return len(late) > MAX_RETRIES


fleets.run_case(FOLDER, play)
