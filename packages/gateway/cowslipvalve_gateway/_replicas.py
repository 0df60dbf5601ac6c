"""This host's replica of the state, fed by the store or by another host."""

import logging

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _contacts
from cowslipvalve_gateway import _quarantines
from cowslipvalve_gateway import _restores
from cowslipvalve_gateway import _statelogs
from cowslipvalve_gateway import _stores
from cowslipvalve_gateway import _suspects

_STORE_RETURN_GRACE_MS = 2_500.0  # Lapsed registrations are renewed within 2 s.
_MAX_AGE_MS = 3_600_000.0  # JSON and logs cannot represent infinity.

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Update:
    """The objects of one kind that the receiver of a message lacks."""

    kind: _stores.StateKind
    listing: _stores.StateListing


@attrs.frozen(kw_only=True)
class StateMessage:
    """The state, or changes to it, that one host sends to another."""

    # Whether the sender watches the store itself.
    is_watching: bool
    # How many ms ago the store last confirmed the sender's state.
    age_ms: float
    # For how many ms servers are still used after their registrations lapse.
    grace_ms: float
    # The changes that the receiver lacks.
    updates: tuple[Update, ...]
    # The version of the sender's routing table, 0 if it has none.
    version: int = 0
    # The requests that all hosts refuse, as servers end under them.
    quarantined: tuple[_quarantines.QuarantineEntry, ...] = ()
    # For how many ms the store has answered the sender without a long gap; 0
    # if it does not or the sender cannot tell.
    reached_ms: float = 0.0
    # The requests that all hosts send to one shard first.
    suspects: tuple[_suspects.SuspectEntry, ...] = ()
    # The names of the hosts that do not answer the sender.
    absent: tuple[str, ...] = ()


class StateReplica:
    """Applies listings to the catalog and logs them for other hosts.

    Attributes:
      log: The state with its latest changes, for other hosts to read.
      catalog: The state by which requests are served.
      is_watching: Whether this host watches the store itself.
      quarantine: The requests that all hosts refuse.
      contact: Since when the store has answered this host.
      confirmed_ms: When the store last confirmed the state, on the process's
        clock.
    """

    def __init__(
        self,
        catalog: _catalogs.Catalog,
        clock: base.Clock,
        quarantine: _quarantines.Quarantine,
    ) -> None:
        self._clock = clock
        self.log = _statelogs.create_state_log()
        self.catalog = catalog
        self.quarantine = quarantine
        self.contact = _contacts.create_store_contact(clock)
        self.is_watching = False
        self.confirmed_ms = float("-inf")
        self._grace_until_ms = float("-inf")
        # The repairs in progress after a restore of the store.
        self._repairs: dict[_stores.StateKind, _restores.Repair] = {}

    @property
    def age_ms(self) -> float:
        """How many ms ago the store last confirmed the state, 1 h at most."""
        return min(self._clock.now_ms() - self.confirmed_ms, _MAX_AGE_MS)

    def start_grace_period(self) -> None:
        """Starts a grace period for registrations that lapsed in an outage."""
        self._grace_until_ms = self._clock.now_ms() + _STORE_RETURN_GRACE_MS

    def apply_listing(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> bool:
        """Applies a listing; returns False if it is older than the state."""
        if kind is _stores.StateKind.CONFIGURATION:
            known = self.log.list_last(kind)
            listing = _restores.keep_newest_table(known, listing)
        self._prepare_repair(kind, listing)
        if not self.log.add(kind, listing):
            base.log_event(
                _logger,
                "listing-refused",
                logging.WARNING,
                kind=kind.value,
                revision=listing.revision,
                era=listing.era,
                **self._describe_known(kind),
            )
            return False
        repair = self._repairs.get(kind)
        self._apply(kind, repair.apply(listing) if repair else listing)
        return True

    def _prepare_repair(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> None:
        """Begins a repair if a listing is the first one after a restore."""
        if not listing.is_whole or not self.log.is_restored(kind, listing):
            return
        base.log_event(
            _logger,
            "store-restored",
            logging.WARNING,
            kind=kind.value,
            revision=listing.revision,
            era=listing.era,
            **self._describe_known(kind),
        )
        self.start_grace_period()
        if kind is _stores.StateKind.CONFIGURATION:
            return
        known = self.log.list_last(kind)
        if kind in self._repairs:
            known |= self._repairs[kind].known
        end_ms = self._clock.now_ms() + _restores.REPAIR_MS
        self._repairs[kind] = _restores.Repair(kind, known, end_ms)

    def _describe_known(self, kind: _stores.StateKind) -> dict[str, object]:
        known = self.log.position(kind) or _stores.NO_POSITION
        return {"known_revision": known.revision, "known_era": known.era}

    def end_repairs(self) -> None:
        """Goes by the store's state alone once repairs are over."""
        now_ms = self._clock.now_ms()
        for kind, repair in list(self._repairs.items()):
            if repair.end_ms <= now_ms:
                del self._repairs[kind]
                self._apply(kind, self.log.read_all(kind))

    def take_table(self, message: StateMessage) -> None:
        """Takes a newer routing table than the restored store may have."""
        for update in message.updates:
            for item in update.listing.items:
                table = item.table
                if table and table.version > self.catalog.get_table_version():
                    self.log.replace(_stores.StateKind.CONFIGURATION, item)
                    self.catalog.set_table(table)

    def _apply(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> None:
        if kind is _stores.StateKind.CONFIGURATION:
            for item in listing.items:
                if item.table is not None:
                    self.catalog.set_table(item.table)
        elif kind is _stores.StateKind.SERVERS:
            self._apply_servers(listing)
        elif kind is _stores.StateKind.DOMAINS_OUT:
            self._apply_domains_out(listing)
        else:
            self._apply_hosts(listing)

    def apply_message(self, message: StateMessage) -> None:
        """Applies a message from another host."""
        now_ms = self._clock.now_ms()
        self.apply_quarantine(message)
        self.confirmed_ms = max(self.confirmed_ms, now_ms - message.age_ms)
        self._grace_until_ms = max(
            self._grace_until_ms, now_ms + message.grace_ms
        )
        for update in message.updates:
            self.apply_listing(update.kind, update.listing)

    def apply_quarantine(self, message: StateMessage) -> None:
        """Applies only the quarantined requests and suspects of a message."""
        self.quarantine.suspects.add_all(message.suspects)
        for fingerprint in self.quarantine.add_all(message.quarantined):
            base.log_event(
                _logger, "quarantine-learned", fingerprint=fingerprint
            )

    def build_message(
        self, positions: _statelogs.Positions | None
    ) -> StateMessage:
        """Builds a message with the changes after the given positions.

        Without positions the message holds only the age of the state.
        """
        lacking = {} if positions is None else self.log.read_after(positions)
        return StateMessage(
            is_watching=self.is_watching,
            age_ms=self.age_ms,
            grace_ms=self._compute_remaining_grace_ms(),
            updates=tuple(
                Update(kind=kind, listing=listing)
                for kind, listing in lacking.items()
            ),
            version=self.catalog.get_table_version(),
            quarantined=self.quarantine.list_entries(),
            reached_ms=min(self.contact.reached_ms, _MAX_AGE_MS),
            suspects=self.quarantine.suspects.list_entries(),
            absent=self.catalog.presence.list_absent(),
        )

    def _compute_remaining_grace_ms(self) -> float:
        return max(0.0, self._grace_until_ms - self._clock.now_ms())

    def _apply_servers(self, listing: _stores.StateListing) -> None:
        grace_ms = self._compute_remaining_grace_ms()
        for item in listing.items:
            if item.server is not None and item.is_valid:
                self.catalog.put_server(item.server)
            elif not item.is_valid:
                self.catalog.drop_server(item.name, grace_ms)
        if listing.is_whole:
            names = frozenset(i.name for i in listing.items if i.is_valid)
            self.catalog.retain_servers(names, grace_ms)

    def _apply_domains_out(self, listing: _stores.StateListing) -> None:
        out = set() if listing.is_whole else set(self.catalog.domains_out)
        for item in listing.items:
            if item.is_valid:
                out.add(item.name)
            else:
                out.discard(item.name)
        self.catalog.set_domains_out(frozenset(out))

    def _apply_hosts(self, listing: _stores.StateListing) -> None:
        hosts = {} if listing.is_whole else dict(self.catalog.hosts)
        for item in listing.items:
            if item.host is not None and item.is_valid:
                hosts[item.name] = item.host
            else:
                hosts.pop(item.name, None)
        self.catalog.set_hosts(hosts)


def create_state_replica(
    catalog: _catalogs.Catalog,
    clock: base.Clock,
    quarantine: _quarantines.Quarantine | None = None,
) -> StateReplica:
    """Creates an empty replica.

    Args:
      catalog: The state by which requests are served.
      clock: The clock of the process.
      quarantine: The requests that this host refuses; None for an own one.
    """
    return StateReplica(
        catalog,
        clock,
        _quarantines.create_quarantine(clock)
        if quarantine is None
        else quarantine,
    )
