"""Requests are read and dropped as a host ends after SIGTERM."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment  # noqa: E402

LOSS_SLACK_S = 0.2
REQUESTS_PER_S = 80  # of a zone: the site file's traffic without "thin"
HOSTS_PER_ZONE = 3
GAP_S = 1.0  # between two machines, as in the site file
PLAY_S = 104
# Clients repeat a request once, on a new connection, as on the site.
RETRIES = 1
DEADLINE_S = 3.0


class Balancer:
    """Gives new connections of clients to hosts, as PROTOCOL.md tells."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._misses = dict.fromkeys((host.name for host in hosts), 0)

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

    def choose(self, zone, failed=None):
        own = [host for host in self._hosts if host.zone == zone]
        found = [host for host in own if self._is_in_rotation(host)]
        if not found:
            # All other zones are equally near.
            found = [host for host in self._hosts if self._is_in_rotation(host)]
        elif 2 * len(found) < len(own):
            found = own
        # "Retries reach other nodes."
        return random.choice([h for h in found if h is not failed] or found or own)

    def _is_in_rotation(self, host):
        return self._misses[host.name] < 2


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
    hosts = list(d.hosts.values())
    if has_trouble:
        tasks.append(roll(record, hosts, terms, end - 10))
    balancer = Balancer(hosts)
    tasks += [balancer.follow(host, end) for host in hosts]
    for zone in deployment.ZONES:
        tasks.append(load(d, record, balancer, zone, lost, sent, end - 3))
    await asyncio.gather(*tasks)
    print(f"requests {sent[0]}, SIGTERMs {terms[0]}, read and dropped: {len(lost)}")
    return 1 if lost else 0


async def roll(record, hosts, terms, end):
    """Stops and starts all machines in turn, again and again."""
    restarts = set()
    while deployment.now() < end:
        for host in hosts:
            task = asyncio.create_task(restart(record, host, terms))
            restarts.add(task)
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


async def load(d, record, balancer, zone, lost, sent, end):
    tasks = set()
    while deployment.now() < end:
        task = asyncio.create_task(call(d, record, balancer, zone, sent, lost))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def call(d, record, balancer, zone, sent, lost):
    """Makes a request and repeats it as the clients of PROTOCOL.md do."""
    end = deployment.now() + DEADLINE_S
    failed = None
    for _ in range(1 + RETRIES):
        host = balancer.choose(zone, failed)
        sent[0] += 1
        request_id = f"{d._run}-{sent[0]:06x}"
        left = end - deployment.now()
        answer = await attempt(record, host, request_id, left, lost)
        if answer is not None and 200 <= answer[0] < 300:
            return
        failed = host
        # Retry-After is honoured up to a third of the time left.
        wait = float(answer[1].get("retry-after", 0)) if answer else 0.0
        left = end - deployment.now()
        if left <= 0:
            return
        await asyncio.sleep(min(wait, left / 3))


async def attempt(record, host, request_id, left, lost):
    """Sends one request over a new connection; returns status and headers."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.caller)
    except OSError:
        return None
    # A round trip to the client.
    await asyncio.sleep(0.006)
    cause, status, fields = "answered", 0, {}
    begin = deployment.now()
    try:
        writer.write(
            f"GET /read/x HTTP/1.1\r\nHost: {deployment.HOST_NAME}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Deadline-Ms: {round(1e3 * left)}\r\n\r\n".encode()
        )
        async with asyncio.timeout(DEADLINE_S + 1):
            message = await deployment.read_message(reader)
        if message is None:
            cause = "closed"
        else:
            status, fields = int(message[0].split(" ")[1]), message[1]
    except ConnectionError:
        # With bytes that were not read, the close is a reset.
        cause = "reset"
    except TimeoutError:
        cause = "silent"
    finally:
        writer.close()
    took = deployment.now() - begin
    record.note(
        cause,
        request=request_id,
        host=host.name,
        status=status,
        ms=round(1e3 * took),
    )
    # The process has read it: a close with unread bytes resets the connection.
    if cause == "closed" and took > LOSS_SLACK_S:
        lost.append(request_id)
        record.note("lost", request=request_id, host=host.name)
    return (status, fields) if cause == "answered" else None


deployment.run(play, FOLDER)
