"""Requests are read and dropped as a host ends after SIGTERM."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment  # noqa: E402

LOSS_SLACK_S = 0.2
REQUESTS_PER_S = 80  # of a zone
HOSTS_PER_ZONE = 3
GAP_S = 1.0  # between two machines, as in the site file
PLAY_S = 85


class Balancer:
    """Gives new connections to the hosts of a zone, as PROTOCOL.md tells."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._misses = dict.fromkeys((h.name for h in hosts), 0)

    async def follow(self, host, end):
        while deployment.now() < end:
            begin = deployment.now()
            try:
                answer = await deployment.exchange(
                    host.ready, "/cowslipvalve/readiness", [], 1.0
                )
            except OSError:
                answer = None
            is_ready = answer is not None and answer[0] == 200
            self._misses[host.name] = 0 if is_ready else self._misses[host.name] + 1
            await asyncio.sleep(max(0, begin + 1 - deployment.now()))

    def choose(self):
        ready = [h for h in self._hosts if self._misses[h.name] < 2]
        if 2 * len(ready) < len(self._hosts):
            ready = self._hosts
        return random.choice(ready)


async def play(d, record, has_trouble):
    for number in range(4):
        await d.add_searcher(f"i-{number}", "orders", "kuopio")
    d.configure(
        {
            "name": "read",
            "path-prefix": "/read/",
            "route-type": "idempotent",
            "service": "orders",
        }
    )
    for zone in deployment.ZONES:
        for number in range(HOSTS_PER_ZONE):
            await d.add_host(f"front-{zone}-{number}", zone)
    for host in d.hosts.values():
        await host.wait_until_ready()
    end = deployment.now() + PLAY_S
    lost, sent, terms = [], [0], [0]
    tasks = []
    for zone in deployment.ZONES:
        hosts = [h for h in d.hosts.values() if h.zone == zone]
        balancer = Balancer(hosts)
        tasks += [balancer.follow(host, end) for host in hosts]
        tasks.append(load(d, record, balancer, lost, sent, end - 3))
        if has_trouble:
            tasks.append(roll(record, hosts, terms, end - 10))
    await asyncio.gather(*tasks)
    print(f"requests {sent[0]}, SIGTERMs {terms[0]}, read and dropped: {len(lost)}")
    return 1 if lost else 0


async def roll(record, hosts, terms, end):
    """Stops and starts the machines of a zone in turn, again and again."""
    while deployment.now() < end:
        restarts = []
        for host in hosts:
            restarts.append(asyncio.create_task(restart(record, host, terms)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)


async def restart(record, host, terms):
    terms[0] += 1
    record.note("sigterm", host=host.name)
    host.process.terminate()
    async with asyncio.timeout(6):  # grace-s
        status = await host.process.wait()
    record.note("ended", host=host.name, status=status)
    await host.start()
    await host.wait_until_ready()


async def load(d, record, balancer, lost, sent, end):
    tasks = set()
    while deployment.now() < end:
        sent[0] += 1
        task = asyncio.create_task(call(d, record, balancer, sent[0], lost))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def call(d, record, balancer, number, lost):
    """Sends one request over a new connection."""
    host = balancer.choose()
    request_id = f"{d._run}-{number:06x}"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.caller)
    except OSError:
        return
    # A round trip to the client.
    await asyncio.sleep(0.006)
    cause = "answered"
    begin = deployment.now()
    try:
        writer.write(
            f"GET /read/x HTTP/1.1\r\nHost: {deployment.HOST_NAME}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: 3000\r\n\r\n".encode()
        )
        async with asyncio.timeout(4):
            message = await deployment.read_message(reader)
        if message is None:
            cause = "closed"
    except ConnectionError:
        # With bytes that were not read, the close is a reset.
        cause = "reset"
    except TimeoutError:
        cause = "silent"
    finally:
        writer.close()
    took = deployment.now() - begin
    record.note(
        cause, request=request_id, host=host.name, ms=round(1e3 * took)
    )
    # The process has read it: a close with unread bytes resets the connection.
    if cause == "closed" and took > LOSS_SLACK_S:
        lost.append(request_id)
        record.note("lost", request=request_id, host=host.name)


deployment.run(play, FOLDER)
