"""Tests of cuts between hosts and servers."""

import asyncio
import unittest

from cowslipvalve_standins import _servercuts

_WAIT_S = 0.1
_CUT_HOST = "front-0"
_OTHER_HOST = "front-1"


class _Echo(asyncio.Protocol):
    """A server's connection that sends back what it gets."""

    def __init__(self, peers: list["_Echo"]) -> None:
        self._peers = peers
        self._transport: asyncio.Transport | None = None
        self.received = b""
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._peers.append(self)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self.received += data
        self._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.is_lost = True


class _Client(asyncio.Protocol):
    """A host's connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.is_lost = True

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)


class ServerCutTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        self.cuts = _servercuts.create_server_cuts()
        self.enterContext(self.cuts.install())
        self.peers: list[_Echo] = []
        self.ports = [await self.start_server() for _ in range(2)]
        self.addresses = [f"127.0.0.1:{port}" for port in self.ports]
        for address in self.addresses:
            self.cuts.add_server(address)

    async def start_server(self) -> int:
        """Starts a server and returns its port."""
        server = await asyncio.get_running_loop().create_server(
            lambda: _Echo(self.peers), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def open(
        self, host_name: str = _CUT_HOST, server: int = 0
    ) -> _Client:
        """Opens a connection of a host."""
        with self.cuts.attribute_to(host_name):
            _, client = await asyncio.get_running_loop().create_connection(
                _Client, "127.0.0.1", self.ports[server]
            )
        assert client.transport is not None
        self.addCleanup(client.transport.abort)
        return client

    async def can_open(
        self, host_name: str = _CUT_HOST, server: int = 0
    ) -> str:
        """Returns what becomes of a new connection of a host."""
        try:
            async with asyncio.timeout(_WAIT_S):
                await self.open(host_name, server)
        except TimeoutError:
            return "hangs"
        except ConnectionRefusedError:
            return "refused"
        return "open"

    async def test_new_connections(self) -> None:
        for name, mode, expected in (
            ("silent", _servercuts.SILENT, "hangs"),
            ("to servers", _servercuts.SILENT_TO_SERVERS, "hangs"),
            ("from servers", _servercuts.SILENT_FROM_SERVERS, "hangs"),
            ("new ones hang", _servercuts.HANGING_NEW, "hangs"),
            ("refusing", _servercuts.REFUSING, "refused"),
            ("resetting", _servercuts.RESETTING, "refused"),
            ("new ones refused", _servercuts.REFUSING_NEW, "refused"),
        ):
            with self.subTest(name):
                self.cuts.cut(_CUT_HOST, mode)
                self.assertEqual(await self.can_open(), expected)
                self.assertEqual(await self.can_open(_OTHER_HOST), "open")
                self.cuts.heal(_CUT_HOST)
                self.assertEqual(await self.can_open(), "open")

    async def test_open_connections(self) -> None:
        for name, mode, arrives, is_answered, is_lost in (
            ("silent", _servercuts.SILENT, False, False, False),
            ("to", _servercuts.SILENT_TO_SERVERS, False, False, False),
            ("from", _servercuts.SILENT_FROM_SERVERS, True, False, False),
            ("new ones hang", _servercuts.HANGING_NEW, True, True, False),
            ("refusing", _servercuts.REFUSING, False, False, False),
            ("resetting", _servercuts.RESETTING, False, False, True),
            ("new refused", _servercuts.REFUSING_NEW, True, True, False),
        ):
            with self.subTest(name):
                client, other = await self.open(), await self.open(_OTHER_HOST)
                peer, _ = self.peers[-2:]
                self.cuts.cut(_CUT_HOST, mode)
                await asyncio.sleep(0)
                client.write(b"request")
                other.write(b"request")
                await asyncio.sleep(_WAIT_S)
                self.assertEqual(peer.received, b"request" if arrives else b"")
                expected = b"request" if is_answered else b""
                self.assertEqual(client.received, expected)
                self.assertEqual(client.is_lost, is_lost)
                self.assertEqual(peer.is_lost, is_lost)
                self.assertEqual(other.received, b"request")
                self.cuts.heal(_CUT_HOST)
                await asyncio.sleep(_WAIT_S)
                expected = b"" if is_lost else b"request"
                self.assertEqual(client.received, expected)

    async def test_cut_from_some_servers(self) -> None:
        self.cuts.cut(_CUT_HOST, _servercuts.SILENT, self.addresses[:1])
        self.assertEqual(await self.can_open(server=0), "hangs")
        self.assertEqual(await self.can_open(server=1), "open")
        self.cuts.cut(_CUT_HOST, _servercuts.SILENT, self.addresses[1:])
        self.assertEqual(await self.can_open(server=0), "open")
        self.assertEqual(await self.can_open(server=1), "hangs")

    async def test_other_targets_are_reached(self) -> None:
        self.ports.append(await self.start_server())
        self.cuts.cut(_CUT_HOST, _servercuts.REFUSING)
        self.assertEqual(await self.can_open(server=2), "open")

    async def test_connection_is_opened_once_the_cut_ends(self) -> None:
        self.cuts.cut(_CUT_HOST, _servercuts.SILENT)
        opening = asyncio.create_task(self.open())
        await asyncio.sleep(_WAIT_S)
        self.assertFalse(self.peers)
        self.cuts.heal(_CUT_HOST)
        await opening
        await asyncio.sleep(_WAIT_S)
        self.assertEqual(len(self.peers), 1)

    async def test_server_learns_of_a_close_once_the_cut_ends(self) -> None:
        client = await self.open()
        await asyncio.sleep(_WAIT_S)
        self.cuts.cut(_CUT_HOST, _servercuts.SILENT)
        assert client.transport is not None
        client.transport.abort()
        await asyncio.sleep(_WAIT_S)
        self.assertTrue(client.is_lost)
        self.assertFalse(self.peers[0].is_lost)
        self.cuts.heal(_CUT_HOST)
        await asyncio.sleep(_WAIT_S)
        self.assertTrue(self.peers[0].is_lost)

    async def test_tasks_belong_to_the_host_that_started_them(self) -> None:
        with self.cuts.attribute_to(_CUT_HOST):
            task = asyncio.create_task(self.connect())
        self.cuts.cut(_CUT_HOST, _servercuts.REFUSING)
        with self.assertRaises(ConnectionRefusedError):
            await task
        await self.connect()

    async def connect(self) -> None:
        """Opens a connection of whatever host the task belongs to."""
        transport, _ = await asyncio.get_running_loop().create_connection(
            _Client, "127.0.0.1", self.ports[0]
        )
        transport.close()


if __name__ == "__main__":
    unittest.main()
