"""An evacuation ends shortly after the zone's searchers have become cold."""

import asyncio
import bisect
import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))
import fleet as fleets  # noqa: E402

SHARDS = [f"prices-{number}" for number in range(5)]
ZONE = "kuopio"
RATE = 90.0  # Requests a second at all hosts together.
COLD_PER_S = float(os.environ.get("COLD_PER_S", "2"))
OVERSHOOT = 1.5
SLACK = 5
WARMUP_S = 3.0
EVACUATION_S = 5.0
# From the last searcher's entry to the end of the evacuation.
GAP_S = float(os.environ.get("GAP_S", "0.1"))


async def load(fleet, until):
    tasks = []
    number = 0
    start_s = fleet.record.now_s
    while not until.is_set():
        host = fleet.hosts[number % len(fleet.hosts)]
        path = f"/prices/{number:04x}"
        tasks.append(fleet.spawn(fleet.request, host, "GET", path))
        number += 1
        due_s = start_s + number / RATE
        await asyncio.sleep(max(0.0, due_s - fleet.record.now_s))
    return await asyncio.gather(*tasks)


def become_cold(fleet, searcher):
    store = fleet.store
    spec = dict(store._objects["servers"][searcher.instance_id]["spec"])
    spec["warmup-left-ms"] = int(WARMUP_S * 1_000)
    spec["sequence"] += 1
    store.put("servers", searcher.instance_id, spec)
    fleet.record.write(f"searcher {searcher.instance_id} is cold")
    return fleet.record.now_s


async def play(fleet):
    await fleet.store.start()
    route = fleets.create_route(
        "prices",
        "/prices/",
        **{
            "fanout-services": SHARDS,
            "top-k": 5,
            "min-part-share": 0.75,
            "timeout-ms": 800,
            "target-latency-ms": 150,
        },
    )
    config = fleets.create_config(7, [route], cold=COLD_PER_S)
    fleet.store.put("config", "main", config)
    for shard in SHARDS:
        for zone in ("seinajoki", ZONE):
            # Searchers of one service differ in speed.
            work_s = 0.003 if zone == ZONE else 0.02
            await fleet.add_searcher(shard, zone, work_s=work_s, slots=4)
    await fleet.start_hosts(3)
    until = asyncio.Event()
    loading = fleet.spawn(load, fleet, until)
    await asyncio.sleep(3.0)
    cold_s = {}
    if fleet.has_trouble:
        fleet.store.put("evacuations", ZONE, {})
        fleet.record.write(f"evacuation of {ZONE} acknowledged")
        await asyncio.sleep(EVACUATION_S)
        for searcher in fleet.searchers:
            if searcher.zone == ZONE:
                cold_s[searcher.instance_id] = become_cold(fleet, searcher)
                await asyncio.sleep(0.002)
        await asyncio.sleep(GAP_S)
        fleet.store.delete("evacuations", ZONE)
        fleet.record.write(f"evacuation of {ZONE} taken back")
    await asyncio.sleep(WARMUP_S)
    until.set()
    results = await loading
    served = sum(result.is_served for result in results)
    fleet.record.tell(f"requests: {len(results)}, served {served}")
    bound = COLD_PER_S * OVERSHOOT + SLACK
    times = collections.defaultdict(list)
    for arrival in fleet.arrivals:
        begin_s = cold_s.get(arrival.searcher)
        if begin_s and begin_s < arrival.at_s < begin_s + WARMUP_S:
            times[arrival.searcher].append(arrival.at_s)
    most = {
        name: max(
            bisect.bisect_left(at_s, start_s + 1.0) - index
            for index, start_s in enumerate(at_s)
        )
        for name, at_s in times.items()
    }
    for name, count in sorted(most.items()):
        fleet.record.tell(
            f"cold searcher {name}: at most {count} requests in a second,"
            f" allowed are {bound:.1f}"
        )
    return any(count > bound for count in most.values())


fleets.run_case(FOLDER, play)
