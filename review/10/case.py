"""Requests within the limits of the config that the hosts refuse."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))
import fleet as fleets  # noqa: E402

REQUESTS = 300
# The third of them are long.
LONG_EVERY = 10
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
HEADERS = 150
BODY_BYTES = 1_500_000
ALLOWED = 5  # and one in 500.


async def play(fleet):
    await fleet.store.start()
    route = fleets.create_route("orders", "/orders/", service="orders")
    config = fleets.create_config(
        7,
        [route],
        **{
            "max-header-bytes": MAX_HEADER_BYTES,
            "max-body-bytes": MAX_BODY_BYTES,
        },
    )
    fleet.store.put("config", "main", config)
    for number in range(4):
        zone = list(fleets.ZONES)[number % 3]
        await fleet.add_searcher("orders", zone, work_s=0.01)
    await fleet.start_hosts(3)
    tasks = []
    for number in range(REQUESTS):
        host = fleet.hosts[number % len(fleet.hosts)]
        options = {}
        method = "POST"
        kind = "short"
        if fleet.has_trouble and number % LONG_EVERY == 0:
            kind = "many headers"
            method = "GET"
            options["headers"] = [
                (f"X-Filter-{i}", "elk") for i in range(HEADERS)
            ]
        elif fleet.has_trouble and number % LONG_EVERY == 5:
            kind = "long body"
            options["body"] = b"x" * BODY_BYTES
        else:
            options["body"] = b"x" * 300
        task = fleet.spawn(
            fleet.request, host, method, f"/orders/{number:04x}", **options
        )
        tasks.append((kind, task))
        await asyncio.sleep(0.05)
    denied = 0
    ends = {}
    for kind, task in tasks:
        result = await task
        ends.setdefault(kind, {}).setdefault(str(result), 0)
        ends[kind][str(result)] += 1
        is_denial = 300 <= result.status < 500
        denied += is_denial and result.status not in (408, 421, 429)
    for kind, counts in ends.items():
        fleet.record.tell(f"{kind}: {counts}")
    allowed = ALLOWED + REQUESTS // 500
    fleet.record.tell(
        f"{denied} of {REQUESTS} proper requests were denied, allowed are"
        f" {allowed}"
    )
    return denied > allowed


fleets.run_case(FOLDER, play)
