"""Servers that one request ends, each of which is replaced by a new one."""

import asyncio
import itertools

from cowslipvalve_standins import _wiredeployments
from cowslipvalve_standins import _wireserver

CRASH_BODY = b"ends each server"
_WORK_MS = 20.0
_THIRD = 2  # The index of the third server that has ended.


class CrashingServers:
    """Servers of a test that end as soon as they run a crash body.

    Attributes:
      servers: All servers, also those that have ended.
    """

    def __init__(
        self,
        test: _wiredeployments.WireTest,
        restart_s: float,
        crash_bodies: tuple[bytes, ...] = (CRASH_BODY,),
        begins_answers: bool = False,
    ) -> None:
        """Creates no server yet.

        Args:
          test: The test whose store the servers are registered in.
          restart_s: After how many s another server replaces one that ended.
          crash_bodies: The bodies that end a server.
          begins_answers: Whether a server sends the beginning of an answer
            before it ends.
        """
        self._test = test
        self._restart_s = restart_s
        self._crash_bodies = crash_bodies
        self._begins_answers = begins_answers
        self._restarts: list[asyncio.Task[None]] = []
        self._numbers = itertools.count()
        self.servers: list[_wireserver.WireServer] = []
        test.addAsyncCleanup(self._stop)

    async def start(self, service: str, zone: str = "kuopio") -> None:
        """Starts a server of a service in a failure domain."""
        server = await self._test.add_server(
            f"i-{next(self._numbers)}",
            service,
            records=(_wiredeployments.create_record(1),),
            zone=zone,
        )
        server.faults.work_ms = _WORK_MS
        server.faults.crash_bodies = self._crash_bodies
        server.faults.begins_answers = self._begins_answers
        self.servers.append(server)
        self._restarts.append(
            asyncio.create_task(self._replace_once_ended(server, service, zone))
        )

    async def _replace_once_ended(
        self, server: _wireserver.WireServer, service: str, zone: str
    ) -> None:
        await server.crashed.wait()
        await asyncio.sleep(self._restart_s)
        self._test.store.delete("servers", server.instance_id)
        await self.start(service, zone)

    async def _stop(self) -> None:
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)

    def count_ended(self) -> int:
        """Returns the number of servers that have ended."""
        return sum(server.crashed.is_set() for server in self.servers)

    def find_sent(
        self, body: bytes = CRASH_BODY
    ) -> list[_wireserver.ReceivedRequest]:
        """Returns the requests with a crash body that servers got, in order."""
        return sorted(
            (
                request
                for server in self.servers
                for request in server.executed_requests
                if request.body == body
            ),
            key=lambda request: request.read_ms,
        )

    def find_late_ids(
        self, learn_ms: float, body: bytes = CRASH_BODY
    ) -> set[str]:
        """Returns the ids of the requests that were sent too late.

        Args:
          learn_ms: For how many ms after the third end they may be sent.
          body: The crash body.
        """
        sent = self.find_sent(body)
        if len(sent) <= _THIRD:
            return set()
        late_ms = sent[_THIRD].read_ms + learn_ms
        return {
            request.headers["request-id"]
            for request in sent
            if request.read_ms > late_ms
        }


def create_crashing_servers(
    test: _wiredeployments.WireTest,
    restart_s: float,
    crash_bodies: tuple[bytes, ...] = (CRASH_BODY,),
    begins_answers: bool = False,
) -> CrashingServers:
    """Creates the servers of a test; none is started.

    Args:
      test: The test whose store the servers are registered in.
      restart_s: After how many s another server replaces one that ended.
      crash_bodies: The bodies that end a server.
      begins_answers: Whether a server sends the beginning of an answer before
        it ends.
    """
    return CrashingServers(test, restart_s, crash_bodies, begins_answers)
