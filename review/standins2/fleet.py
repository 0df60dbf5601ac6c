"""Stand-ins for the cases of the second review, with the standard library only.

The store, the searchers and the clients follow PROTOCOL.md and run in the
process of the case. The hosts are started as child processes, with the command
of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/deps/cowslipvalve_host/__main__.py"
PREFIX = "/cowslipvalve/objects/"
HOST_NAME = "search.example"
ZONES = {"seinajoki": "pohjanmaa", "kuopio": "savo", "rovaniemi": "lappi"}
HEARTBEAT_S = 1.2
# The bounds of the small sites.
CONTACT_S = 5.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
GRACE_S = 6.0
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
# What ends the service of a connection.
_ENDS = (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError)
_numbers = itertools.count(1)
_chosen = set()


class CannotRunError(Exception):
    """The case could not be played."""


def choose_port():
    """Returns a free port of the loopback interface.

    It is below those that Linux gives to outgoing connections, one of which
    could else take it while its program is not running. Cases that run side by
    side choose from other ranges.
    """
    lowest = 12_000 + os.getpid() % 40 * 500
    for _ in range(1_000):
        port = random.randrange(lowest, lowest + 500)
        if port in _chosen:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _chosen.add(port)
            return port
    raise CannotRunError("no free port")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start_s = time.monotonic()

    @property
    def now_s(self):
        return time.monotonic() - self._start_s

    def write(self, text):
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()

    def tell(self, text):
        """Writes a line and prints it."""
        self.write(text)
        print(text, flush=True)


class Message:
    """An HTTP message."""

    def __init__(self, line, pairs, body):
        self.line = line
        self.pairs = pairs
        self.headers = {name.lower(): value for name, value in pairs}
        self.body = body


async def read_message(reader, is_answer=False):
    """Reads one message; raises IncompleteReadError at its early end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head[:-4].split("\r\n")
    pairs = []
    for text in rest:
        name, _, value = text.partition(":")
        pairs.append((name.strip(), value.strip()))
    message = Message(line, pairs, b"")
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif "content-length" in message.headers:
        count = int(message.headers["content-length"])
        message.body = await reader.readexactly(count)
    elif is_answer:
        message.body = await reader.read()
    return message


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        if not size:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return body
        await reader.readexactly(2)


def format_answer(status, headers=(), body=b""):
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store."""

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._revision = 1
        self._history = []
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""
        # Returns after how many seconds a call is carried out whose answer is
        # lost, or None for a sound call: (method, kind, name) -> seconds.
        self.find_delay_s = lambda method, kind, name: None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 24
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def names(self, kind):
        return sorted(self._objects.get(kind, {}))

    def put(self, kind, name, spec):
        self._revision += 1
        old = self._objects.setdefault(kind, {}).get(name)
        item = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "created": old["meta"]["created"] if old else self._revision,
                "finalizers": [],
                "deletion-pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = item
        self._note(kind, False, item)
        return item

    def delete(self, kind, name):
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._note(kind, True, item)
        return item

    def _note(self, kind, is_deleted, item):
        event = {"deleted": is_deleted, "object": item}
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        # The case cancels the tasks of open connections at its end.
        with contextlib.suppress(*_ENDS):
            while True:
                request = await read_message(reader)
                answer = await self._handle(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _handle(self, request, writer):
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        body = json.loads(request.body) if request.body else None
        delay_s = self.find_delay_s(method, kind, name)
        if delay_s is not None:
            self._record.write(
                f"store: {method} {kind}/{name} gets no answer and is carried"
                f" out {delay_s:.1f} s later"
            )
            asyncio.get_running_loop().call_later(
                delay_s, self._carry_out_late, method, kind, name, body
            )
            # Nothing more comes on a connection on which an answer was lost.
            await asyncio.sleep(30)
            return None
        if "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and not name:
            return self._list(kind, query)
        return self._carry_out(method, kind, name, body)

    def _carry_out_late(self, method, kind, name, body):
        self._carry_out(method, kind, name, body)
        self._record.write(f"store: {method} {kind}/{name} carried out now")

    def _carry_out(self, method, kind, name, body):
        objects = self._objects.get(kind, {})
        if method == "POST":
            name = body["meta"]["name"]
            if name in objects:
                return self._answer(409, objects[name])
            return self._answer(200, self.put(kind, name, body["spec"]))
        if name not in objects:
            return self._answer(404, {})
        if method == "PUT":
            if objects[name]["spec"] == body["spec"]:
                return self._answer(200, objects[name])
            return self._answer(200, self.put(kind, name, body["spec"]))
        if method == "DELETE":
            return self._answer(200, self.delete(kind, name))
        return self._answer(200, objects[name])

    def _list(self, kind, query):
        objects = self._objects.get(kind, {})
        names = sorted(n for n in objects if n > query.get("after", ""))
        content = {
            "items": [objects[name] for name in names[:500]],
            "has-more": len(names) > 500,
            "at": self._revision,
        }
        return self._answer(200, content)

    async def _watch(self, kind, query):
        after = int(query["watch"])
        end_s = time.monotonic() + int(query["wait-ms"]) / 1_000
        while True:
            events = [
                event
                for revision, changed, event in self._history
                if revision > after and changed == kind
            ]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                content = {"events": events, "at": self._revision}
                return self._answer(200, content)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def _answer(self, status, content):
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        return format_answer(status, headers, json.dumps(content).encode())


class Arrival:
    """A request that reached a searcher."""

    def __init__(self, at_s, searcher, request):
        _, self.target, _ = request.line.split(" ")
        self.method = request.line.split(" ")[0]
        self.at_s = at_s
        self.searcher = searcher
        self.request_id = request.headers.get("request-id", "")
        self.body = request.body


class Searcher:
    """A searcher: a boot that serves, may crash and start again.

    `run` may be replaced. It gets the searcher and the request, and returns
    the answer's bytes, or None after it has ended the connection by itself.
    """

    def __init__(self, fleet, service, zone, work_s=0.02, slots=2, run=None):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.run = run
        self.name = f"{service}-{next(_numbers)}"
        self.port = choose_port()
        self.boots = 0
        self.instance_id = ""
        self.state = "ready"
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()

    @property
    def is_up(self):
        return self._server is not None

    async def start(self):
        """Starts a new boot and registers it."""
        self.boots += 1
        self.instance_id = f"i-{self.name}-{self.boots}"
        self.state = "ready"
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 24
        )
        self.register()

    def register(self):
        self.fleet.store.put(
            "servers",
            self.instance_id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "config-version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup-left-ms": 0,
                "sequence": 1 if self.state == "ready" else 2,
                "born": int(time.time() * 1_000),
            },
        )

    def drain(self):
        """Reports draining, with the start time that it had."""
        self.state = "draining"
        store = self.fleet.store
        spec = dict(store._objects["servers"][self.instance_id]["spec"])
        spec.update(state="draining", sequence=spec["sequence"] + 1)
        store.put("servers", self.instance_id, spec)

    def stop(self):
        """Ends the process: all its sockets are closed."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def leave(self):
        self.stop()
        self.fleet.store.delete("servers", self.instance_id)

    def crash(self, back_s):
        """Ends the process; a new boot starts at the same address."""
        if self._server is None:
            return
        ended = self.instance_id
        self.stop()
        self.fleet.record.write(f"searcher {ended} crashes")
        loop = asyncio.get_running_loop()
        # The entry goes after three heartbeats of silence.
        loop.call_later(
            3 * HEARTBEAT_S, self.fleet.store.delete, "servers", ended
        )
        loop.call_later(back_s, self.fleet.spawn, self.start)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                answer = await self._answer(request, reader, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except _ENDS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        identity = [("Instance-Id", self.instance_id)]
        if request.line.split(" ")[1] == "/health":
            status = 200 if self.state == "ready" else 503
            return format_answer(status, identity)
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.instance_id):
            return format_answer(421, [*identity, ("Not-Executed", "1")])
        arrival = Arrival(self.fleet.record.now_s, self.instance_id, request)
        self.fleet.arrivals.append(arrival)
        self.fleet.record.write(
            f"searcher {self.instance_id} gets {request_id}"
            f" {arrival.method} {arrival.target}"
        )
        async with self._free:
            if self.run is not None:
                answer = await self.run(self, request, reader, writer)
                if answer is not False:
                    return answer
            if not await self.work(reader):
                return None
            return self.success(request)

    async def work(self, reader):
        """Works; returns whether the connection stayed open."""
        try:
            async with asyncio.timeout(self.work_s):
                await reader.read(1)
        except TimeoutError:
            return True
        return False

    def success(self, request, body=b"0123456789abcdef"):
        request_id = request.headers.get("request-id", "")
        stamp = f"{self.instance_id}.{request_id}.{next(_numbers)}"
        self.fleet.record.write(f"searcher {self.instance_id} ran {request_id}")
        headers = [("Request-Id", request_id), ("Server-Stamp", stamp)]
        return format_answer(200, headers, body)


class Host:
    """A host of the system, as a child process."""

    def __init__(self, fleet, name, zone, folder):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.folder = folder
        ports = [choose_port() for _ in range(4)]
        self.front, self.ready, self.metrics, self.state = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.seeds = []
        self.store_address = fleet.store.address
        self.process = None

    async def start(self):
        settings = {
            "host": self.name,
            "failureDomain": self.zone,
            "regions": ZONES,
            "callerAddress": self.front,
            "readyAddress": self.ready,
            "metricsAddress": self.metrics,
            "stateAddress": self.state,
            "seeds": self.seeds,
            "storeAddress": self.store_address,
            "maxDescriptors": 4100,
            "cpuShare": 0.537,
            "coreSpeed": 2,
            "graceS": GRACE_S,
            "budget": {"ratio": 0.2, "slack": 56, "windowS": 10},
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            "COWSLIPVALVE_SETTINGS": str(path),
            "PYTHONPATH": "target/deps",
            "SSL_CERT_FILE": "/dev/null",
            "PATH": os.environ.get("PATH", ""),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", PROGRAM,
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.fleet.record.write(f"host {self.name} starts")

    async def wait_until_ready(self):
        for _ in range(400):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} does not get ready")

    async def is_ready(self):
        result = await send(self.ready, "GET", "/cowslipvalve/readiness")
        return result.status == 200

    async def terminate(self):
        """Stops the process as the platform does; waits until it has ended."""
        self.fleet.record.write(f"host {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.fleet.record.write(f"host {self.name} gets SIGKILL")
            self.process.kill()
            await self.process.wait()
        self.fleet.record.write(f"host {self.name} has ended")

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def read_log(self):
        return (self.folder / f"{self.name}.log").read_text()


class Result:
    """What a client saw of one attempt."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.body = b""
        self.error = ""
        self.sent_s = 0.0
        self.took_s = 0.0

    @property
    def is_served(self):
        return 200 <= self.status < 300

    def __str__(self):
        return str(self.status or self.error)


async def send(
    address, method, path, body=b"", deadline_ms=3_000, headers=(),
    request_id=None,
):
    """Sends one attempt on a new connection and returns its result."""
    result = Result(request_id or f"{next(_numbers):016x}")
    result.sent_s = time.monotonic()
    host, port = address.split(":")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {result.request_id}",
        f"Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1_000):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 24
            )
            writer.write(data)
            answer = await read_message(reader, is_answer=True)
        result.status = int(answer.line.split(" ")[1])
        result.headers = answer.headers
        result.body = answer.body
    except TimeoutError:
        result.error = "deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        result.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    result.took_s = time.monotonic() - result.sent_s
    return result


def create_route(name, prefix, **fields):
    route = {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 3_000,
        "target-latency-ms": 300,
        "priority": 2,
        "max-attempts": 2,
        "allowed-regions": [],
    }
    return {**route, **fields}


def create_config(version, routes, max_connections=110, cold=0.0, **limits):
    services = set()
    for route in routes:
        services.update(route.get("fanout-services", ()))
        if "service" in route:
            services.add(route["service"])
    return {
        "config-version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": max_connections,
                "protocol": "h1",
                "tls": False,
                "warmup-s": 3.0,
                "warmup-per-s": cold,
            }
            for name in sorted(services)
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
            **limits,
        },
    }


class Fleet:
    """A store, searchers and hosts."""

    def __init__(self, folder, has_trouble):
        self.has_trouble = has_trouble
        self.record = Record(folder)
        self.store = Store(self.record)
        self.arrivals = []
        self.searchers = []
        self.hosts = []
        self._temporary = tempfile.TemporaryDirectory()
        self._tasks = set()

    def spawn(self, function, *arguments, **options):
        task = asyncio.ensure_future(function(*arguments, **options))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_searcher(self, service, zone="kuopio", **options):
        searcher = Searcher(self, service, zone, **options)
        self.searchers.append(searcher)
        await searcher.start()
        return searcher

    async def start_hosts(self, count=3, **options):
        zones = list(ZONES)
        for number in range(count):
            host = Host(
                self,
                f"front-{number}",
                zones[number % len(zones)],
                pathlib.Path(self._temporary.name),
            )
            self.hosts.append(host)
        seeds = [host.state for host in self.hosts[:3]]
        for host in self.hosts:
            host.seeds = seeds
            await host.start()
        for host in self.hosts:
            await host.wait_until_ready()
        # The hosts learn of each other.
        await asyncio.sleep(4.0)

    async def request(self, host, method, path, **options):
        """Sends one attempt to a host and records it."""
        request_id = options.pop("request_id", None) or (
            f"{next(_numbers):016x}"
        )
        self.record.write(f"client sends {request_id} {path} to {host.name}")
        result = await send(
            host.front, method, path, request_id=request_id, **options
        )
        self.record.write(
            f"client gets {request_id} {result} {result.body[:40]!r}"
            f" after {result.took_s:.3f} s"
        )
        return result

    async def close(self):
        for host in self.hosts:
            await host.kill()
        for searcher in self.searchers:
            searcher.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.hosts:
                pathlib.Path(keep, f"{host.name}.log").write_text(
                    host.read_log()
                )
        self._temporary.cleanup()


def run_case(folder, play, limit_s=115):
    """Plays a case and exits: 1 if the rule broke, 0 if it held, else 2."""

    async def run():
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        fleet = Fleet(folder, has_trouble)
        try:
            async with asyncio.timeout(limit_s):
                return await play(fleet)
        finally:
            await fleet.close()

    if not (ROOT / PROGRAM).exists():
        print("run deploy/build first")
        sys.exit(2)
    try:
        is_broken = asyncio.run(run())
    except Exception:  # The case could not run, whatever the reason.
        traceback.print_exc()
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
