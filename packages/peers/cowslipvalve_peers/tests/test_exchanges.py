"""Tests of the exchange of records between hosts."""

import random
import unittest

import hypothesis
from hypothesis import strategies

import cowslipvalve_model as model
import cowslipvalve_peers as peers
from cowslipvalve_standins import _clocks

_TIMES = peers.LeaseTimes(heartbeat_ms=250, dead_ms=900, lease_ms=1_500)
_HOSTS = 4


def _create_entry(name: str, out: bool, version: int) -> model.VersionedRecord:
    record = model.PlacementRecord(
        kind="FailureDomain", name=name, resource_version=version, out=out
    )
    return model.VersionedRecord(version, placement=record)


class _Host:
    """The table and the exchange of one host."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.table = peers.create_record_table()
        leases = peers.create_lease_keeper(
            _clocks.create_manual_clock(), _TIMES, name, incarnation
        )
        self.exchange = peers.create_exchange(
            name, incarnation, self.table, leases
        )

    def contents(self) -> dict[str, model.VersionedRecord]:
        return {
            entry.placement.name: entry
            for entry in self.table.entries("FailureDomain")
            if entry.placement is not None
        }


def _exchange(sender: _Host, receiver: _Host, lost: str) -> None:
    """Sends a message and its answer, one of which may be lost.

    Args:
      sender: The host that sends the message.
      receiver: The host that answers.
      lost: What is lost: "message", "answer", or nothing if empty.
    """
    message = sender.exchange.build_heartbeat(receiver.name, 0, False)
    if lost == "message":
        return
    receiver.exchange.merge(message)
    answer = receiver.exchange.build_heartbeat(sender.name, 0, False)
    if lost != "answer":
        sender.exchange.merge(answer)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("write", "exchange", "restart")),
        strategies.integers(0, _HOSTS - 1),
        strategies.integers(0, _HOSTS - 1),
        strategies.sampled_from(("", "message", "answer")),
    ),
    max_size=60,
)


class ExchangeTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_STEPS)
    def test_all_hosts_come_to_hold_the_same(
        self, steps: list[tuple[str, int, int, str]]
    ) -> None:
        hosts = [_Host(f"host-{number}", 1) for number in range(_HOSTS)]
        incarnation = 1
        for number, (step, one, other, lost) in enumerate(steps):
            if step == "write":
                entry = _create_entry(f"domain-{other}", bool(number % 2), 1)
                hosts[one].table.write(entry)
            elif step == "restart":
                incarnation += 1
                hosts[one] = _Host(f"host-{one}", incarnation)
            elif one != other:
                _exchange(hosts[one], hosts[other], lost)
        for _ in range(3):
            for one in range(_HOSTS):
                for other in range(_HOSTS):
                    if one != other:
                        _exchange(hosts[one], hosts[other], "")
        for host in hosts[1:]:
            self.assertEqual(host.contents(), hosts[0].contents())

    def test_confirmed_records_are_not_sent_again(self) -> None:
        one, other = _Host("one", 1), _Host("other", 1)
        one.table.write(_create_entry("domain", True, 1))
        for _ in range(2):
            _exchange(one, other, "")
        self.assertEqual(
            one.exchange.build_heartbeat("other", 0, False).entries, ()
        )

    def test_message_of_an_older_incarnation_is_dropped(self) -> None:
        old, new, other = _Host("a", 1), _Host("a", 2), _Host("b", 1)
        old.table.write(_create_entry("domain", True, 1))
        late = old.exchange.build_heartbeat("b", 0, False)
        _exchange(new, other, "")
        other.exchange.merge(late)
        self.assertEqual(other.contents(), {})

    def test_many_records_are_split_over_several_messages(self) -> None:
        one, other = _Host("one", 1), _Host("other", 1)
        names = [f"domain-{number}" for number in range(1_200)]
        random.Random(1).shuffle(names)
        for name in names:
            one.table.write(_create_entry(name, True, 1))
        for _ in range(4):
            _exchange(one, other, "")
        self.assertEqual(len(other.contents()), len(names))
