"""A removed searcher gets requests after a short cut of another host."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment  # noqa: E402

DRAIN_S = 3.0
CUT_S = 1.1  # the site file has up to 5.5 s
ROUNDS = 4
ZONE = "seinajoki"


async def play(d, record, has_trouble):
    for number in range(2 + ROUNDS):
        await d.add_searcher(f"i-{number}", "orders", "kuopio")
    d.configure(
        {
            "name": "read",
            "path-prefix": "/read/",
            "route-type": "idempotent",
            "service": "orders",
        }
    )
    for number in range(3):
        await d.add_host(f"front-{ZONE}-{number}", ZONE)
    await d.add_host("front-kuopio-0", "kuopio")
    for host in d.hosts.values():
        await host.wait_until_ready()
    start = deployment.now()
    loads = [
        asyncio.create_task(d.load(name, "/read/x", 20, start + 7 + 12 * ROUNDS))
        for name in d.hosts
    ]
    removed = {}
    cuts = []
    for number in range(ROUNDS):
        # All hosts are in touch again, and those that watch are settled.
        await asyncio.sleep(start + 6 + 12 * number - deployment.now())
        watcher = find_watcher(d)
        if has_trouble:
            record.note("cut", host=watcher)
            cuts.append((watcher, deployment.now()))
            d.store.hold(d.hosts[watcher].store)
        end = deployment.now() + CUT_S
        await asyncio.sleep(0.05)
        searcher = f"i-{number}"
        d.store.delete("servers", d.searchers[searcher].instance)
        removed[searcher] = deployment.now()
        record.note("removal-acked", searcher=searcher)
        await asyncio.sleep(end - deployment.now())
        if has_trouble:
            d.store.release(d.hosts[watcher].store)
            record.note("healed", host=watcher)
    await asyncio.gather(*loads)
    return judge(d, record, removed, cuts)


def find_watcher(d):
    """Returns the host of the zone that watches the store."""
    ports = {port for port, _, _, is_watch in d.store.waiting.values() if is_watch}
    return next(
        name
        for name, host in d.hosts.items()
        if host.zone == ZONE and host.store in ports
    )


def judge(d, record, removed, cuts):
    late = []
    for name, acked in removed.items():
        for at, request_id, _ in d.searchers[name].runs:
            # The host that the client called; it asks searchers itself.
            host = d.calls[request_id][0]
            was_cut = any(h == host and -1 < at - c < CUT_S + 6 for h, c in cuts)
            if at > acked + DRAIN_S and not was_cut:
                late.append(request_id)
                record.note(
                    "late",
                    request=request_id,
                    host=host,
                    at=name,
                    ms_after=round(1e3 * (at - acked)),
                )
    served = sum(c[3] == 200 for c in d.calls.values())
    print(f"requests {len(d.calls)}, served {served}, late by calm hosts: {len(late)}")
    return 1 if late else 0


deployment.run(play, FOLDER)
