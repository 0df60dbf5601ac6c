"""Tests of what counts as the end of a server under a request."""

import asyncio
import math
import unittest
from unittest import mock

import cowslipvalve_base as base
import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _fingerprints
from cowslipvalve_gateway import _servers
from cowslipvalve_gateway import _watcherchoices

_OWN = gateway.HostRecord(name="h0", domain="a", state_address="h0")
_REQUEST = gateway.CallerRequest(
    request_id="r1",
    method="POST",
    host="search.example",
    target="/read/1",
    headers=(),
    body=b"body",
    received_ms=0.0,
    deadline_ms=1.0,
)
_ENDED = ("servers_ended", "")
_RESTART_S = 3.0  # As servers of the users' platform take.


_OTHER = gateway.HostRecord(name="h1", domain="b", state_address="h1")
_UNKNOWN_MS = 800.0
_REPORT_S = 2.0  # Far more than a host waits between two looks.


class _Client:
    """Takes reports to other hosts."""

    def __init__(self) -> None:
        self.reports: dict[str, gateway.CrashReport] = {}
        self.lost: set[str] = set()
        self.received = asyncio.Event()

    async def report(
        self, address: str, report: gateway.CrashReport, _timeout_ms: float
    ) -> gateway.QuarantineList:
        if address in self.lost:
            raise gateway.HostUnavailableError("lost", step="report")
        self.reports[address] = report
        self.received.set()
        return gateway.QuarantineList(entries=())


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        self.clock = base.create_clock()
        self.measurements = gateway.create_measurements()
        self.links = gateway.create_server_links(self.clock)
        self.catalog = gateway.create_catalog(self.clock, {})
        self.client = _Client()
        self.watch = gateway.create_crash_watch(
            _OWN,
            self.catalog,
            self.clock,
            gateway.create_quarantine(self.clock),
            self.client,  # type: ignore[arg-type]
            self.measurements,
            self.links,
        )
        self.listener = await asyncio.get_running_loop().create_server(
            asyncio.Protocol, "127.0.0.1", 0
        )

    async def asyncTearDown(self) -> None:
        self.listener.close()
        await self.listener.wait_closed()

    def create_view(
        self,
        state: gateway.ServerState = gateway.ServerState.READY,
        instance_id: str = "i-0",
    ) -> _servers.ServerView:
        """Creates the view of the server that the test listens for."""
        port = self.listener.sockets[0].getsockname()[1]
        server = gateway.Server(
            instance_id=instance_id,
            service="orders",
            address=f"127.0.0.1:{port}",
            domain="a",
            state=state,
            slots=2,
        )
        return _servers.create_server_view(
            self.clock, server, 4, memory=None, link=self.links.add(server)
        )

    async def lose(self, view: _servers.ServerView) -> int:
        """Loses a connection; returns how many ends were found."""
        self.watch.record_loss(view, _REQUEST)
        await asyncio.sleep(0.2)
        return self.measurements.read_counts().get(_ENDED, 0)

    async def test_server_that_refuses_connections_has_ended(self) -> None:
        view = self.create_view()
        self.listener.close()
        self.assertEqual(await self.lose(view), 1)

    async def test_server_that_listens_has_lost_a_connection_only(self) -> None:
        view = self.create_view()
        self.assertEqual(await self.lose(view), 0)
        view.pool.close()

    async def test_host_without_links_takes_no_server_for_ended(self) -> None:
        views = [self.create_view() for _ in range(3)]
        self.listener.close()
        for view in views:
            self.assertEqual(await self.lose(view), 0)

    async def test_server_has_ended_if_another_is_reached_later(self) -> None:
        view, other = self.create_view(), self.create_view()
        self.listener.close()
        self.assertEqual(await self.lose(view), 0)
        other.link.record_reach(self.clock.now_ms(), is_connect=True)
        await asyncio.sleep(0.1)
        self.assertEqual(self.measurements.read_counts().get(_ENDED, 0), 1)

    async def test_end_counts_although_no_server_is_reached_for_seconds(
        self,
    ) -> None:
        view, other = self.create_view(), self.create_view()
        self.listener.close()
        self.assertEqual(await self.lose(view), 0)
        await asyncio.sleep(_RESTART_S)
        other.link.record_reach(self.clock.now_ms(), is_connect=True)
        await asyncio.sleep(0.4)
        self.assertEqual(self.measurements.read_counts().get(_ENDED, 0), 1)

    async def test_end_counts_although_the_server_is_removed_as_it_is_proven(
        self,
    ) -> None:
        view, other = self.create_view(), self.create_view()
        self.listener.close()
        self.assertEqual(await self.lose(view), 0)
        view.pool.close()
        other.link.record_reach(self.clock.now_ms(), is_connect=True)
        await asyncio.sleep(0.4)
        self.assertEqual(self.measurements.read_counts().get(_ENDED, 0), 1)

    async def test_request_is_a_suspect_before_its_servers_have_provably_ended(
        self,
    ) -> None:
        self.create_view()  # Not reached, as all others.
        views = [self.create_view(instance_id=f"i-{n}") for n in range(1, 4)]
        self.listener.close()
        self.assertEqual(await self.lose(views[0]), 0)
        self.assertEqual(await self.lose(views[1]), 0)
        self.assertFalse(self.watch.is_suspect(_REQUEST))
        self.assertEqual(await self.lose(views[2]), 0)
        self.assertTrue(self.watch.is_suspect(_REQUEST))

    async def test_servers_that_lost_a_connection_one_by_one_accuse_nobody(
        self,
    ) -> None:
        for number in range(3):
            view = self.create_view(instance_id=f"i-{number}")
            self.assertEqual(await self.lose(view), 0)
            view.pool.close()
        self.assertFalse(self.watch.is_suspect(_REQUEST))

    def test_suspects_of_a_host_that_ends_before_its_proof_are_kept(
        self,
    ) -> None:
        fingerprint = _fingerprints.compute_fingerprint(_REQUEST)
        entry = gateway.SuspectEntry(
            fingerprint=fingerprint, remaining_ms=1_000.0
        )
        self.watch.receive(gateway.CrashReport(host="h1", suspects=(entry,)))
        self.assertTrue(self.watch.is_suspect(_REQUEST))

    async def test_end_is_reported_once_the_other_hosts_are_known(self) -> None:
        view, other = self.create_view(), self.create_view(instance_id="i-1")
        self.listener.close()
        other.link.record_reach(math.inf, is_connect=True)
        lost_ms = self.clock.now_ms()
        await self.lose(view)
        await self.clock.sleep_ms(_UNKNOWN_MS)
        self.assertEqual(self.client.reports, {})
        self.catalog.set_hosts({"h0": _OWN, "h1": _OTHER})
        await asyncio.wait_for(self.client.received.wait(), _REPORT_S)
        [(address, report)] = self.client.reports.items()
        self.assertEqual(address, "h1")
        [end] = report.ends
        ended_ms = self.clock.now_ms() - lost_ms - end.age_ms
        self.assertGreaterEqual(ended_ms, 0.0)
        self.assertLess(ended_ms, _UNKNOWN_MS)

    # Guards against reports that go to a lost host alone until it counts as
    # absent, so that a crashing request is judged seconds later.
    async def test_end_is_reported_to_the_next_host_if_the_first_is_lost(
        self,
    ) -> None:
        others = {
            name: gateway.HostRecord(name=name, domain="b", state_address=name)
            for name in ("h1", "h2", "h3")
        }
        self.catalog.set_hosts({"h0": _OWN, **others})
        ranked = [host.name for host in _watcherchoices.rank_hosts(others, "b")]
        self.client.lost = {ranked[0]}
        view, other = self.create_view(), self.create_view(instance_id="i-1")
        self.listener.close()
        other.link.record_reach(math.inf, is_connect=True)
        await self.lose(view)
        await asyncio.wait_for(self.client.received.wait(), _REPORT_S)
        self.assertEqual(list(self.client.reports), [ranked[1]])

    async def test_answer_to_an_earlier_request_proves_no_link(self) -> None:
        view, other = self.create_view(), self.create_view()
        self.listener.close()
        sent_ms = self.clock.now_ms()
        self.watch.record_loss(view, _REQUEST)
        other.link.record_reach(sent_ms, is_connect=False)
        await asyncio.sleep(0.2)
        self.assertEqual(self.measurements.read_counts().get(_ENDED, 0), 0)

    async def test_server_that_was_to_end_is_no_evidence(self) -> None:
        draining = self.create_view(gateway.ServerState.DRAINING)
        leaving = self.create_view()
        leaving.withdrawal.record_leaving()
        removed = self.create_view()
        removed.pool.close()
        self.listener.close()
        for view in (draining, leaving, removed):
            self.links.remove(view.link)  # Else they are compared.
        for view in (draining, leaving, removed):
            self.assertEqual(await self.lose(view), 0)

    async def test_servers_that_end_under_a_request_that_was_given_up_count(
        self,
    ) -> None:
        view, other = self.create_view(), self.create_view(instance_id="i-1")
        self.listener.close()
        self.links.add(view.server).record_reach(math.inf, is_connect=True)
        self.watch.record_loss(view, _REQUEST)
        self.watch.record_cancelled(other, _REQUEST)
        await asyncio.sleep(0.2)
        self.assertEqual(self.measurements.read_counts().get(_ENDED, 0), 2)

    async def test_end_of_the_one_server_of_a_suspect_is_reported_as_such(
        self,
    ) -> None:
        view, other = self.create_view(), self.create_view(instance_id="i-1")
        fingerprint = _fingerprints.compute_fingerprint(_REQUEST)
        self.listener.close()
        self.links.add(view.server).record_reach(math.inf, is_connect=True)
        with mock.patch.object(self.watch, "receive") as receive:
            with self.watch.permits.send(fingerprint):
                self.watch.record_loss(view, _REQUEST)
            self.watch.record_loss(other, _REQUEST)
            await asyncio.sleep(0.2)
        (report,) = receive.call_args.args
        self.assertEqual(
            {end.server: end.canaries for end in report.ends},
            {"i-0": (fingerprint,), "i-1": ()},
        )

    async def test_request_that_broke_no_connection_is_no_suspect(self) -> None:
        view = self.create_view()
        self.listener.close()
        self.links.add(view.server).record_reach(math.inf, is_connect=True)
        self.watch.record_cancelled(view, _REQUEST)
        await asyncio.sleep(0.2)
        self.assertEqual(self.measurements.read_counts().get(_ENDED, 0), 0)

    async def test_request_that_was_answered_is_no_suspect(self) -> None:
        view = self.create_view()
        self.listener.close()
        self.watch.record_answer(_REQUEST)
        self.assertEqual(await self.lose(view), 0)


if __name__ == "__main__":
    unittest.main()
