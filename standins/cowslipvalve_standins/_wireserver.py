"""Stand-in of a backend server of the users' platform.

Tests can inject faults into its answers.
"""

import asyncio
import itertools

import attrs

import cowslipvalve_model as model

RECORD_BYTES = 16
_MS_PER_S = 1_000.0
_NOT_RUN = "Not-Executed: 1"
_PROOF_NUMBERS = itertools.count(1)


@attrs.define(kw_only=True)
class ServerFaults:
    """The faults of a server, in force until they are replaced."""

    # The time that each request takes in ms.
    work_ms: float = 1.0
    # Rejects each request with 503 and Not-Executed.
    rejects: bool = False
    # Closes the connection before the last byte of an answer.
    cuts_answers: bool = False
    # Runs requests and resets the connection instead of answering.
    loses_answers: bool = False
    # Sends each answer twice, the second time after this many ms.
    extra_after_ms: float | None = None
    # Sends answers without Content-Length and closes the connection.
    is_unframed: bool = False
    # The status of the answers; answers with errors carry a proof, too.
    status: int = 200
    # Sends answers without Server-Stamp, the proof of an answer.
    omits_proof: bool = False
    # The Content-Encoding of the answers, which the body does not have.
    encoding: str = ""
    # The Server-Limit of the answers, the requests per second that the server
    # takes from all hosts together; not sent if empty.
    rate_limit: str = ""
    # Says in each answer that the server leaves.
    is_leaving: bool = False
    # The Retry-After of rejections in s; not sent if empty.
    retry_after: str = ""
    # The bodies that end the server as soon as it begins to run one.
    crash_bodies: tuple[bytes, ...] = ()
    # Sends the beginning of an answer before a crash body ends the server.
    begins_answers: bool = False


@attrs.frozen(kw_only=True)
class ReceivedRequest:
    """A request that a server read."""

    # The request line.
    line: str
    # The headers by lower-case names.
    headers: dict[str, str]
    body: bytes
    # When the request was read, in ms of the loop's clock.
    read_ms: float


class WireServer:
    """An HTTP/1.1 server that serves one request at a time per connection.

    Attributes:
      instance_id: The id of this instance.
      faults: The current faults.
      received_requests: All requests that arrived, also those that were
        rejected, in the order of arrival.
      executed_requests: The requests that were run, in the order of arrival.
      abandoned_ids: The ids of requests whose connection closed during their
        run.
      proofs: The id of the answered request by the proof of the answer.
      connections: The number of connections that were accepted.
      address: The address that the server listens on, empty before the start.
      records: The records of this server's shard.
      rejected: The number of requests that were rejected.
      crashed: Set once a request has ended the server.
    """

    def __init__(self, instance_id: str, records: tuple[bytes, ...]) -> None:
        self.instance_id = instance_id
        self.records = records
        self.faults = ServerFaults()
        self.received_requests: list[ReceivedRequest] = []
        self.executed_requests: list[ReceivedRequest] = []
        self.abandoned_ids: list[str] = []
        self.proofs: dict[str, str] = {}
        self.connections = 0
        self.address = ""
        self.rejected = 0
        self.crashed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    def crash(self) -> None:
        """Ends at once, as a process that is killed."""
        assert self._server is not None
        self.crashed.set()
        self._server.close()
        for task in self._connection_tasks:
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        self.connections += 1
        try:
            while await self._serve_request(reader, writer):
                pass
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            return
        finally:
            self._connection_tasks.discard(task)
            writer.transport.abort()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection stays open."""
        request = await _read_request(reader)
        self.received_requests.append(request)
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.instance_id):
            writer.write(_format_answer(421, request_id, "", b"", [_NOT_RUN]))
            return True
        if self.faults.rejects:
            self.rejected += 1
            extra_headers = [_NOT_RUN]
            if self.faults.retry_after:
                extra_headers.append(f"Retry-After: {self.faults.retry_after}")
            writer.write(
                _format_answer(503, request_id, "", b"", extra_headers)
            )
            return True
        self.executed_requests.append(request)
        if request.body in self.faults.crash_bodies:
            if self.faults.begins_answers:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbe")
                await writer.drain()
            self.crash()
            return False
        if not await self._simulate_work(reader, request_id):
            return False
        return await self._send_answer(writer, request_id)

    async def _simulate_work(
        self, reader: asyncio.StreamReader, request_id: str
    ) -> bool:
        """Simulates the work; returns whether the connection stayed open."""
        try:
            async with asyncio.timeout(model.to_seconds(self.faults.work_ms)):
                await reader.read(1)
        except TimeoutError:
            return True
        except ConnectionResetError:
            pass  # Hosts reset the connections of requests they give up.
        self.abandoned_ids.append(request_id)
        return False

    async def _send_answer(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> bool:
        faults = self.faults
        if faults.loses_answers:
            return False
        proof = "" if faults.omits_proof else self._create_proof(request_id)
        extra_headers = (
            [f"Content-Encoding: {faults.encoding}"] if faults.encoding else []
        )
        if faults.rate_limit:
            extra_headers.append(f"Server-Limit: {faults.rate_limit}")
        if faults.is_leaving:
            extra_headers.append("Server-Leaving: 1")
        body = b"".join(self.records)
        if faults.is_unframed:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            writer.write(f"{head}Server-Stamp: {proof}\r\n\r\n".encode() + body)
            await writer.drain()
            writer.close()
            return False
        answer = _format_answer(
            faults.status, request_id, proof, body, extra_headers
        )
        if faults.cuts_answers:
            writer.write(answer[:-1])
            await writer.drain()
            writer.close()
            return False
        writer.write(answer)
        if faults.extra_after_ms is not None:
            await asyncio.sleep(model.to_seconds(faults.extra_after_ms))
            writer.write(answer)
        return True

    def _create_proof(self, request_id: str) -> str:
        """Returns a unique proof for the answer to a request."""
        proof = f"{self.instance_id}.{next(_PROOF_NUMBERS)}"
        self.proofs[proof] = request_id
        return proof


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *header_lines = head.split("\r\n")
    headers = {}
    for header_line in header_lines:
        name, separator, value = header_line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    read_ms = asyncio.get_running_loop().time() * _MS_PER_S
    return ReceivedRequest(
        line=request_line, headers=headers, body=body, read_ms=read_ms
    )


def _format_answer(
    status: int,
    request_id: str,
    proof: str,
    body: bytes,
    extra_headers: list[str],
) -> bytes:
    lines = [f"HTTP/1.1 {status:03d} X", f"Request-Id: {request_id}"]
    if proof:
        lines.append(f"Server-Stamp: {proof}")
    lines += [*extra_headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def create_wire_server(
    instance_id: str, records: tuple[bytes, ...] = ()
) -> WireServer:
    """Returns a server that is not started."""
    return WireServer(instance_id, records)
