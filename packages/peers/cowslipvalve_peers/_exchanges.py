"""The exchange of heartbeats and records between two hosts."""

import attrs

import cowslipvalve_model as model
from cowslipvalve_peers import _leases
from cowslipvalve_peers import _tables

_MAX_ENTRIES = 500  # Limits a message to about 200 kB.


@attrs.frozen
class _PeerState:
    """How far this host and one peer have each other's changes."""

    # The incarnation of the peer for which the change numbers below hold.
    incarnation: int
    # The last of this host's changes that the peer has confirmed.
    confirmed: int = 0
    # The last of the peer's changes that this host has merged.
    received: int = 0


class Exchange:
    """Builds the messages to peers and merges the messages from peers."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        table: _tables.RecordTable,
        leases: _leases.LeaseKeeper,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._table = table
        self._leases = leases
        self._peers: dict[str, _PeerState] = {}

    def build_heartbeat(
        self, receiver: str, number: int, same_domain: bool
    ) -> model.Heartbeat:
        """Returns the message for a peer.

        Args:
          receiver: The peer's name, empty if it is not known yet.
          number: The number of this host's accepted configuration.
          same_domain: Whether the peer is in the failure domain of this host,
            and so needs heartbeat records.
        """
        peer = self._peers.get(receiver, _PeerState(0))
        entries, sent = self._table.collect_changes(
            peer.confirmed, receiver, _MAX_ENTRIES
        )
        return model.Heartbeat(
            sender=self._host,
            incarnation=self._incarnation,
            number=number,
            beats=self._leases.collect_heartbeats(receiver)
            if same_domain
            else (),
            entries=entries,
            receiver_incarnation=peer.incarnation,
            received=peer.received,
            sent=sent,
        )

    def merge(self, message: model.Heartbeat) -> None:
        """Merges a message of a peer, unless its incarnation is outdated."""
        peer = self._peers.get(message.sender)
        if peer is None or peer.incarnation < message.incarnation:
            peer = _PeerState(message.incarnation)
        if message.incarnation < peer.incarnation:
            return
        if message.receiver_incarnation == self._incarnation:
            peer = attrs.evolve(peer, confirmed=message.received)
        self._table.merge(message.entries, message.sender)
        self._leases.merge(message.beats)
        self._peers[message.sender] = attrs.evolve(peer, received=message.sent)


def create_exchange(
    host: str,
    incarnation: int,
    table: _tables.RecordTable,
    leases: _leases.LeaseKeeper,
) -> Exchange:
    """Returns the exchange of a host that has just started."""
    return Exchange(host, incarnation, table, leases)
