"""An evacuated zone gets requests while one connection to the store is silent."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment  # noqa: E402

EVACUATION_S = 5.0
CONTACT_S = 5.0
ZONE = "kuopio"
# So soon after the start of a watch its connection goes silent.
LATEST_S = 1.0


async def play(d, record, has_trouble):
    for number, zone in enumerate((ZONE, ZONE, "seinajoki", "seinajoki")):
        await d.add_searcher(f"i-{number}", "orders", zone)
        # Searchers of a service differ in speed.
        d.searchers[f"i-{number}"].work_s = 0.005 if zone == ZONE else 0.03
    d.configure(
        {
            "name": "read",
            "path-prefix": "/read/",
            "route-type": "idempotent",
            "service": "orders",
        }
    )
    for zone in deployment.ZONES:
        await d.add_host(f"front-{zone}-1", zone)
    for host in d.hosts.values():
        await host.wait_until_ready()
    start = deployment.now()
    loads = [
        asyncio.create_task(d.load(name, "/read/x", 20, start + 24))
        for name in d.hosts
    ]
    await asyncio.sleep(6)
    key = None
    while key is None:
        await asyncio.sleep(0.02)
        key = find_watch(d.store)
    if has_trouble:
        port, _, since, _ = d.store.waiting[key]
        d.store.silenced.add(key)
        host = next(n for n, h in d.hosts.items() if h.store == port)
        record.note(
            "silent",
            host=host,
            watching_for_ms=round(1e3 * (deployment.now() - since)),
        )
    silent = deployment.now()
    await asyncio.sleep(0.1)
    d.store.put("evacuations", ZONE, {})
    acked = deployment.now()
    record.note("evacuation-acked", zone=ZONE)
    await asyncio.gather(*loads)
    return judge(d, record, max(acked + EVACUATION_S, silent + CONTACT_S), acked)


def find_watch(store):
    for key, (_, kind, since, is_watch) in store.waiting.items():
        age = deployment.now() - since
        if kind == "evacuations" and is_watch and age < LATEST_S:
            return key
    return None


def judge(d, record, bound, acked):
    late = []
    for searcher in d.searchers.values():
        for at, request_id, sender in searcher.runs:
            if searcher.zone == ZONE and at > bound:
                late.append(request_id)
                record.note(
                    "late",
                    request=request_id,
                    host=sender,
                    at=searcher.name,
                    ms_after=round(1e3 * (at - acked)),
                )
    served = sum(c[3] == 200 for c in d.calls.values())
    print(f"requests {len(d.calls)}, served {served}, late in {ZONE}: {len(late)}")
    return 1 if late else 0


deployment.run(play, FOLDER)
