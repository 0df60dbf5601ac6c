"""Tests of a group call whose hosts fail."""

import asyncio
import unittest
from collections.abc import AsyncIterator, Callable
from unittest import mock

import cowslipvalve_gateway as gateway
from cowslipvalve_gateway import _attempts
from cowslipvalve_gateway import _errors
from cowslipvalve_gateway import _groupcalls
from cowslipvalve_gateway import _groupplans
from cowslipvalve_gateway import _servicecalls
from cowslipvalve_standins import _clocks

_SHARD = "shard-0"
_HOSTS = tuple(
    gateway.HostRecord(name=name, domain="a", state_address=name)
    for name in ("h1", "h2")
)
_ROUTE = gateway.Route(
    name="wide",
    host="search.example",
    path_prefix="/",
    is_idempotent=True,
    timeout_ms=1_000.0,
    target_ms=200.0,
    max_attempts=3,
    shards=(_SHARD,),
)
_REQUEST = gateway.CallerRequest(
    request_id="r1",
    method="GET",
    host="search.example",
    target="/",
    headers=(),
    body=b"",
    deadline_ms=2_000_000.0,
    received_ms=1_000_000.0,
)


class GroupCallTest(unittest.IsolatedAsyncioTestCase):

    async def test_shard_that_a_silent_host_asked_is_asked_as_a_repeat(
        self,
    ) -> None:
        # How far the first host gets; the second one knows no servers.
        cases = (
            ("unsent", False),
            ("silent", True),
            ("asked", True),
        )
        for first, is_repeat in cases:
            with self.subTest(first):

                async def ask(
                    address: str, *_: object, first: str = first
                ) -> AsyncIterator[gateway.GroupReport]:
                    if address == "h2":
                        yield gateway.GroupReport(unknown=(_SHARD,))
                        return
                    if first == "unsent":
                        raise _errors.UnsentError("", step="", peer="")
                    if first == "asked":
                        yield gateway.GroupReport(asked=("i-1",))
                    raise _errors.HostUnavailableError("", step="", peer="")

                repeat = await _find_repeat(ask)
                self.assertEqual(repeat is not None, is_repeat)

    async def test_server_that_was_asked_first_is_kept_if_a_host_names_none(
        self,
    ) -> None:
        # What the second host reports before it falls silent.
        cases = (
            ("", "i-1"),
            ("i-2", "i-2"),
        )
        for second, expected in cases:
            with self.subTest(second):

                async def ask(
                    address: str, *_: object, second: str = second
                ) -> AsyncIterator[gateway.GroupReport]:
                    asked = "i-1" if address == "h1" else second
                    yield gateway.GroupReport(asked=(asked,))
                    raise _errors.HostUnavailableError("", step="", peer="")

                repeat = await _find_repeat(ask)
                self.assertEqual(repeat, _attempts.Repeat(server=expected))


async def _find_repeat(
    ask: Callable[..., AsyncIterator[gateway.GroupReport]],
) -> _attempts.Repeat | None:
    """Returns the repeat of the only direct call, None if it is none.

    Args:
      ask: Asks a host, by its address.
    """
    context = mock.Mock()
    context.groups.ask = ask
    context.clock = _clocks.create_manual_clock()
    context.host_health.is_suspect.return_value = False
    context.detours.is_refusing.return_value = False
    context.detours.find_round_trip_ms.return_value = 0.0
    context.links.is_stranded = False
    context.links.has_unreached = False
    context.catalog.get_table_version.return_value = 1
    with mock.patch.object(_servicecalls, "ServiceCall") as service_call:
        call = _groupcalls.GroupCall(
            context,
            _REQUEST,
            _ROUTE,
            _groupplans.ShardGroup(shards=(_SHARD,), hosts=_HOSTS),
            1_000_500.0,
            2_000_000.0,
            mock.Mock(),
        )
        call.start()
        await asyncio.sleep(0.01)
    service_call.assert_called_once()
    repeat: _attempts.Repeat | None = service_call.call_args.kwargs["repeat"]
    return repeat


if __name__ == "__main__":
    unittest.main()
