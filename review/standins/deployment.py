"""A small deployment for the review's scripts, with the standard library only.

It holds a store, searchers and clients that speak the platform's protocol, and
starts hosts as the deploy file does. Each host reaches the store and the
searchers through ports of its own, so that a script can cut one host off.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import struct
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"seinajoki": "pohjanmaa", "kuopio": "savo", "rovaniemi": "lappi"}
HOST_NAME = "search.example"
STARTED_MS = 1_700_000_000_000
# The ports that were given out.
_CHOSEN = []
_BLOCK = 12_000 + os.getpid() % 120 * 150
_PREFIX = "/cowslipvalve/objects/"


def now() -> float:
    return time.monotonic()


def free_ports(count):
    """Returns free ports below those that the system gives to connections.

    Each process takes them from a block of its own, so that runs beside each
    other don't take each other's ports.
    """
    ports = []
    while len(ports) < count:
        port = _BLOCK + len(_CHOSEN)
        _CHOSEN.append(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def read_message(reader):
    """Returns first line, headers and body of a message, None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = now()

    def note(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now() - self._start:8.3f} {what} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: lists, watches and writes of objects."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 10
        self.history = []
        self.changed = asyncio.Event()
        # While set, calls get no answer until it is over.
        self.is_silent = False
        # The ports of hosts that are cut off: what passes there is held back.
        self.held = set()
        self.resumed = asyncio.Event()
        # The calls in progress: (port, kind, since, connection).
        self.waiting = {}
        self.views = {}
        self.silenced = set()

    async def listen(self, port, view):
        """Serves a host at a port; view changes the entries that it reads."""
        self.views[port] = view
        await asyncio.start_server(
            lambda r, w: self._serve(r, w, port), "127.0.0.1", port
        )

    def put(self, kind, name, spec):
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": self.revision,
                "finalizers": [],
                "deletion-pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._add(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._add(kind, item, True)
        return item

    def _add(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def set_silent(self, is_silent):
        self.is_silent = is_silent
        self._resume()

    def hold(self, port):
        self.held.add(port)

    def release(self, port):
        self.held.discard(port)
        self._resume()

    def _resume(self):
        self.resumed.set()
        self.resumed = asyncio.Event()

    def _is_held(self, port):
        return self.is_silent or port in self.held

    async def _serve(self, reader, writer, port):
        key = object()
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                while self._is_held(port):
                    await self.resumed.wait()
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(
                    part.split("=", 1) for part in query.split("&") if part
                )
                kind, _, name = path.removeprefix(_PREFIX).partition("/")
                self.waiting[key] = (port, kind, now(), "watch" in fields)
                status, answer = await self._answer(
                    method, kind, name, fields, body, port
                )
                del self.waiting[key]
                while self._is_held(port):
                    await self.resumed.wait()
                if key in self.silenced:
                    # Nothing passes any more, in neither direction.
                    await asyncio.Event().wait()
                text = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    encode_answer(
                        status,
                        ["Content-Type: application/json", "Store-Era: 1"],
                        text,
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.waiting.pop(key, None)
            writer.close()

    async def _answer(self, method, kind, name, fields, body, port):
        found = self.objects.get(kind, {})
        if method == "GET" and not name and "watch" in fields:
            return await self._watch(kind, fields, port)
        if method == "GET" and not name:
            items = [self._view(port, kind, found[n]) for n in sorted(found)]
            return 200, {
                "items": items,
                "has-more": False,
                "at": self.revision,
            }
        if method == "POST":
            plain = json.loads(body)
            name = plain["meta"]["name"]
            if name in found:
                return 409, found[name]
            return 200, self.put(kind, name, plain["spec"])
        if name not in found:
            return 404, None
        if method == "PUT":
            return 200, self.put(kind, name, json.loads(body)["spec"])
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self._view(port, kind, found[name])

    async def _watch(self, kind, fields, port):
        since = int(fields["watch"])
        end = now() + int(fields["wait-ms"]) / 1_000
        while True:
            events = [
                {"object": self._view(port, kind, item), "deleted": deleted}
                for revision, each, item, deleted in self.history
                if revision > since and each == kind
            ]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _view(self, port, kind, item):
        if kind != "servers":
            return item
        return {**item, "spec": self.views[port](item)}


class Searcher:
    """A searcher of one service, which records what it gets."""

    def __init__(self, record, name, service, zone, work_s=0.005):
        self.record = record
        self.name = name
        self.instance = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.is_leaving = False
        # Each request that was run: when, its id, and the host it came from.
        self.runs = []
        self.sequence = 1
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "config-version": "v1",
            "slots": 4,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": STARTED_MS,
        }

    async def _serve(self, reader, writer):
        try:
            # The proxy of the host sends its name first.
            host = (await reader.readline()).decode().strip()
            while (message := await read_message(reader)) is not None:
                _, headers, _ = message
                request_id = headers.get("request-id", "")
                if headers.get("expect-instance") != self.instance:
                    writer.write(
                        encode_answer(421, [f"Request-Id: {request_id}"])
                    )
                    continue
                self.runs.append((now(), request_id, host))
                self.record.note(
                    "run", at=self.name, request=request_id, sent_by=host
                )
                await asyncio.sleep(self.work_s)
                fields = [
                    f"Request-Id: {request_id}",
                    f"Server-Stamp: {self.name}.{len(self.runs)}",
                ]
                if self.is_leaving:
                    fields.append("Server-Leaving: 1")
                writer.write(encode_answer(200, fields, self.name.encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Link:
    """The way of one host to one searcher."""

    def __init__(self, host, searcher):
        self._host = host
        self._searcher = searcher
        self.port = free_ports(1)[0]
        self._server = None
        self._writers = set()
        self._socket = self._bind()

    def _bind(self):
        """Keeps the port; connections are refused until it listens."""
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(("127.0.0.1", self.port))
        return bound

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket
        )

    def refuse(self):
        """Refuses new connections; open ones live on."""
        self._server.close()
        self._socket.close()
        self._socket = self._bind()

    def cut(self):
        """Resets what is open; new connections are refused."""
        self.refuse()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        there, to_there = await asyncio.open_connection(
            "127.0.0.1", self._searcher.port
        )
        to_there.write(f"{self._host}\n".encode())
        both = {writer, to_there}
        self._writers |= both
        try:
            await asyncio.gather(
                _pump(reader, to_there), _pump(there, writer)
            )
        finally:
            self._writers -= both
            for each in both:
                each.transport.abort()


async def _pump(reader, writer):
    try:
        while chunk := await reader.read(65_536):
            writer.write(chunk)
            await writer.drain()
    except ConnectionError:
        pass
    writer.close()


def _render(text, fields):
    """Fills in the template of the settings, as the platform does."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return value

    def section(match):
        values = find(match[1])
        return "".join(
            match[2]
            .replace("{{.}}", str(value))
            .replace("{{,}}", "," if index + 1 < len(values) else "")
            for index, value in enumerate(values)
        )

    def value(match):
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return ",".join(found) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#(\S+?)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


class Host:
    """A host, started with the command of the deploy file."""

    def __init__(self, name, zone, folder):
        ports = free_ports(5)
        self.name = name
        self.zone = zone
        self.caller, self.ready, self.state, self.store, metrics = ports
        self._folder = folder
        self._fields = {
            "node-name": name,
            "zone": zone,
            "zones": ZONES,
            "listen-addrs": {
                "front": f"127.0.0.1:{self.caller}",
                "ready": f"127.0.0.1:{self.ready}",
                "control": f"127.0.0.1:{self.state}",
            },
            "ip": "127.0.0.1",
            "internal-port-range": [metrics, metrics],
            # Each host reads the store itself, as its view of the searchers'
            # addresses differs from that of the others.
            "seeds": [f"127.0.0.1:{self.state}"],
            "platform": {"address": f"127.0.0.1:{self.store}"},
            "limits": {"max-fds": 4100, "cpu-share": 0.537, "cores": 2},
            "bounds": {
                "grace-s": 6,
                "retry-budget-ratio": 0.2,
                "retry-budget-slack": 56,
                "budget-window-s": 10,
            },
        }
        self.links = []
        self.process = None

    async def start(self):
        template = (ROOT / "deploy" / "settings.json.tmpl").read_text()
        path = pathlib.Path(self._folder) / f"{self.name}.json"
        path.write_text(_render(template, self._fields))
        log = open(pathlib.Path(self._folder) / f"{self.name}.log", "ab")
        # As in deploy/system.toml.
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "target/deps/cowslipvalve_host/__main__.py",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": "target/deps",
                "SSL_CERT_FILE": "/dev/null",
                "COWSLIPVALVE_SETTINGS": str(path),
            },
            stdout=log,
            stderr=log,
        )

    async def wait_until_ready(self):
        async with asyncio.timeout(20):
            while True:
                try:
                    answer = await exchange(
                        self.ready, "/cowslipvalve/readiness", [], 1.0
                    )
                    if answer is not None and answer[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def exchange(port, target, headers, timeout_s, method="GET", body=b""):
    """Returns status, headers and body of an answer, None without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}", *headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(timeout_s):
            message = await read_message(reader)
        if message is None:
            return None
        first, fields, answer = message
        return int(first.split(" ")[1]), fields, answer
    except (TimeoutError, ConnectionError):
        return None
    finally:
        writer.close()


class Deployment:
    """A store, searchers, and hosts with their links."""

    def __init__(self, folder, record):
        self.record = record
        self.store = Store(record)
        self.searchers = {}
        self.hosts = {}
        self._folder = folder
        self._number = 0
        # Tells this run's ids from those of another one on the machine.
        self._run = f"{os.getpid():x}"
        self.version = 0
        # Of each request: the host, when it was sent, and when and how it was
        # answered.
        self.calls = {}

    async def add_searcher(self, name, service, zone):
        searcher = Searcher(self.record, name, service, zone)
        searcher.instance = f"{name}-{self._run}"
        await searcher.start()
        self.searchers[name] = searcher
        self.store.put("servers", searcher.instance, searcher.entry())

    def configure(self, *routes):
        self.version += 3
        services = sorted({route["service"] for route in routes})
        self.store.put(
            "config",
            "main",
            {
                "config-version": self.version,
                "routes": [
                    {
                        "host": HOST_NAME,
                        "timeout-ms": 3000,
                        "target-latency-ms": 327,
                        "priority": 2,
                        "max-attempts": 2,
                        "allowed-regions": [],
                        **route,
                    }
                    for route in routes
                ],
                "services": [
                    {
                        "name": name,
                        "health-path": "/health",
                        "max-connections": 110,
                        "protocol": "h1",
                        "tls": False,
                        "warmup-s": 3.0,
                        "warmup-per-s": 0.0,
                    }
                    for name in services
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 262144,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
            },
        )

    async def add_host(self, name, zone):
        host = Host(name, zone, self._folder)
        links = {}
        for searcher in self.searchers.values():
            link = Link(name, searcher)
            await link.open()
            host.links.append(link)
            links[searcher.instance] = link

        def view(item):
            link = links[item["meta"]["name"]]
            return {**item["spec"], "address": f"127.0.0.1:{link.port}"}

        await self.store.listen(host.store, view)
        self.hosts[name] = host
        await host.start()

    async def call(self, host, path, method="GET", body=b""):
        self._number += 1
        request_id = f"{self._run}-{self._number:06x}"
        sent = now()
        self.calls[request_id] = [host, sent, None, None, {}]
        self.record.note("sent", request=request_id, to=host, path=path)
        try:
            answer = await exchange(
                self.hosts[host].caller,
                path,
                [f"Request-Id: {request_id}", "Deadline-Ms: 3000"],
                4.0,
                method,
                body,
            )
        except OSError:
            answer = None
        status, fields, _ = answer or (0, {}, b"")
        self.calls[request_id][2:] = [now(), status, fields]
        self.record.note(
            "answered",
            request=request_id,
            status=status,
            stamp=fields.get("server-stamp", "-"),
            leaving=fields.get("server-leaving", "-"),
        )

    async def load(self, host, path, per_s, end):
        """Sends requests to a host at a steady rate until a time."""
        tasks = []
        while now() < end:
            tasks.append(asyncio.create_task(self.call(host, path)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def stop(self):
        for host in self.hosts.values():
            await host.stop()


def run(play, folder):
    """Plays a case; exits with 1 if the rule was broken, 0 if not, else 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("begin", trouble=has_trouble)

    async def main():
        with tempfile.TemporaryDirectory() as scratch:
            deployment = Deployment(scratch, record)
            try:
                async with asyncio.timeout(112):
                    return await play(deployment, record, has_trouble)
            finally:
                await deployment.stop()
                if os.environ.get("KEEP_LOGS"):  # A folder.
                    for path in pathlib.Path(scratch).glob("*.log"):
                        target = pathlib.Path(os.environ["KEEP_LOGS"])
                        (target / path.name).write_bytes(path.read_bytes())

    try:
        status = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        record.note("could-not-run", error=repr(error))
        print(f"could not run: {error!r}")
        status = 2
    record.note("end", status=status)
    os._exit(status)
