"""A removed searcher gets requests while one connection to the store is silent."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment  # noqa: E402

DRAIN_S = 3.0
CONTACT_S = 5.0
REMOVED = "i-0"
# The connection goes silent so soon after the start of a watch on it.
LATEST_S = 2.0


async def play(d, record, has_trouble):
    for number in range(4):
        await d.add_searcher(f"i-{number}", "orders", "kuopio")
    # Searchers of a service differ in speed.
    for name, searcher in d.searchers.items():
        searcher.work_s = 0.005 if name == REMOVED else 0.03
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
        asyncio.create_task(d.load(name, "/read/x", 20, start + 26))
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
    d.store.delete("servers", d.searchers[REMOVED].instance)
    acked = deployment.now()
    record.note("removal-acked", searcher=REMOVED)
    await asyncio.gather(*loads)
    return judge(d, record, max(acked + DRAIN_S, silent + CONTACT_S), acked)


def find_watch(store):
    for key, (_, kind, since, is_watch) in store.waiting.items():
        age = deployment.now() - since
        if kind == "servers" and is_watch and age < LATEST_S:
            return key
    return None


def judge(d, record, bound, acked):
    late = []
    for at, request_id, sender in d.searchers[REMOVED].runs:
        if at > bound:
            late.append(request_id)
            record.note(
                "late",
                request=request_id,
                host=sender,
                ms_after=round(1e3 * (at - acked)),
            )
    served = sum(c[3] == 200 for c in d.calls.values())
    print(f"requests {len(d.calls)}, served {served}, late at {REMOVED}: {len(late)}")
    return 1 if late else 0


deployment.run(play, FOLDER)
