"""A searcher fails orders with 503 after it has run them."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))
import fleet as fleets  # noqa: E402

SEARCHERS = 7  # As many as the service of orders has in the site file.
GREY = 1  # A share of 0.143.
FAILING_PART = 0.4
GREY_S = (4.0, 10.5)  # From the first order on.
ORDERS = 300


def create_run(play, failed):
    """Returns what the grey searcher does with a request."""
    generator = random.Random(45)

    async def run(searcher, request, reader, writer):
        start_s, end_s = GREY_S
        is_grey = start_s <= play.record.now_s - play.begin_s < end_s
        if not (play.has_trouble and is_grey):
            return False
        if generator.random() >= FAILING_PART:
            return False
        if not await searcher.work(reader):
            return None
        # The order is written; what comes after that fails.
        request_id = request.headers["request-id"]
        failed.add(request_id)
        play.record.write(
            f"searcher {searcher.instance_id} ran {request_id}, answers 503"
            " without Not-Executed"
        )
        stamp = f"{searcher.instance_id}.{request_id}"
        headers = [("Request-Id", request_id), ("Server-Stamp", stamp)]
        return fleets.format_answer(503, headers)

    return run


async def place(fleet, number):
    """Places an order as the clients of the pages do; returns the results."""
    results = []
    for attempt in range(2):
        host = fleet.hosts[(number + attempt) % len(fleet.hosts)]
        result = await fleet.request(
            host,
            "POST",
            "/orders/",
            body=f"order {number}".encode(),
            deadline_ms=3_000,
        )
        results.append(result)
        # These statuses promise that the order has not run.
        if result.status not in (408, 421, 429, 503):
            break
        after_s = float(result.headers.get("retry-after", 0.05))
        await asyncio.sleep(min(1.0, after_s))
    return results


async def play(fleet):
    await fleet.store.start()
    route = fleets.create_route(
        "orders",
        "/orders/",
        service="orders",
        **{"route-type": "non_idempotent", "max-attempts": 2},
    )
    fleet.store.put("config", "main", fleets.create_config(7, [route]))
    failed = set()
    for number in range(SEARCHERS):
        run = create_run(fleet, failed) if number < GREY else None
        zone = list(fleets.ZONES)[number % 3]
        await fleet.add_searcher("orders", zone, work_s=0.06, run=run)
    await fleet.start_hosts(3)
    fleet.begin_s = fleet.record.now_s
    tasks = []
    for number in range(ORDERS):
        tasks.append(fleet.spawn(place, fleet, number))
        await asyncio.sleep(0.05)
    results = [r for each in await asyncio.gather(*tasks) for r in each]
    promised = [r for r in results if r.status in (408, 421, 429, 503)]
    ran = {a.request_id for a in fleet.arrivals}
    broken = [r for r in promised if r.request_id in ran]
    runs = collections.Counter(a.body for a in fleet.arrivals)
    twice = [body for body, count in runs.items() if count > 1]
    fleet.record.tell(
        f"{ORDERS} orders, {len(results)} attempts; {len(failed)} were run and"
        " failed with 503"
    )
    fleet.record.tell(
        f"answered with a promise that they have not run: {len(promised)};"
        f" of these have run: {len(broken)}"
    )
    fleet.record.tell(
        f"orders that ran once more as their clients trusted it: {len(twice)}"
    )
    return bool(broken)


fleets.run_case(FOLDER, play)
