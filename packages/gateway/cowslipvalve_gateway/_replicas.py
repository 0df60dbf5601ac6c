"""This host's replica of the shared state, whatever source it comes from."""

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _catalogs
from cowslipvalve_gateway import _statelogs
from cowslipvalve_gateway import _stores

_STORE_RETURN_GRACE_MS = 2_500.0  # Lapsed registrations are back within 2 s.
_MAX_AGE_MS = 3_600_000.0  # JSON has no infinity, nor have logs.


@attrs.frozen(kw_only=True)
class Update:
    """What the receiver lacks of one kind."""

    kind: _stores.StateKind
    listing: _stores.StateListing


@attrs.frozen(kw_only=True)
class StateMessage:
    """What one host tells another of the state."""

    # Whether the sender follows the store itself.
    is_watching: bool
    # How long ago the store last confirmed the sender's state.
    age_ms: float
    # How long lapsed registrations are still believed.
    grace_ms: float
    # What the receiver lacks.
    updates: tuple[Update, ...]


class StateReplica:
    """Applies listings to the catalog and keeps them for other hosts.

    Attributes:
      log: The state with its latest changes.
      catalog: What requests are served by.
      is_watching: Whether this host follows the store itself.
      confirmed_ms: When the store last confirmed the state.
    """

    def __init__(self, catalog: _catalogs.Catalog, clock: base.Clock) -> None:
        self._clock = clock
        self.log = _statelogs.create_state_log()
        self.catalog = catalog
        self.is_watching = False
        self.confirmed_ms = float("-inf")
        self._grace_until_ms = float("-inf")

    @property
    def age_ms(self) -> float:
        """Returns how long ago the store last confirmed the state."""
        return min(self._clock.now_ms() - self.confirmed_ms, _MAX_AGE_MS)

    def start_grace_period(self) -> None:
        """Notes that the store is back; registrations may have lapsed."""
        self._grace_until_ms = self._clock.now_ms() + _STORE_RETURN_GRACE_MS

    def apply_listing(
        self, kind: _stores.StateKind, listing: _stores.StateListing
    ) -> None:
        """Applies a listing unless it is older than what is known."""
        if not self.log.add(kind, listing):
            return
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
        """Applies what another host told."""
        now_ms = self._clock.now_ms()
        self.confirmed_ms = max(self.confirmed_ms, now_ms - message.age_ms)
        self._grace_until_ms = max(
            self._grace_until_ms, now_ms + message.grace_ms
        )
        for update in message.updates:
            self.apply_listing(update.kind, update.listing)

    def build_message(
        self, revisions: _statelogs.Revisions | None
    ) -> StateMessage:
        """Returns what a host lacks that knows some revisions.

        Without revisions the message tells only how fresh the state is.
        """
        lacking = {} if revisions is None else self.log.read_after(revisions)
        return StateMessage(
            is_watching=self.is_watching,
            age_ms=self.age_ms,
            grace_ms=self._compute_remaining_grace_ms(),
            updates=tuple(
                Update(kind=kind, listing=listing)
                for kind, listing in lacking.items()
            ),
        )

    def _compute_remaining_grace_ms(self) -> float:
        return max(0.0, self._grace_until_ms - self._clock.now_ms())

    def _apply_servers(self, listing: _stores.StateListing) -> None:
        grace_ms = self._compute_remaining_grace_ms()
        for item in listing.items:
            if item.server is not None:
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
            if item.host is not None:
                hosts[item.name] = item.host
            else:
                hosts.pop(item.name, None)
        self.catalog.set_hosts(hosts)


def create_state_replica(
    catalog: _catalogs.Catalog, clock: base.Clock
) -> StateReplica:
    """Returns a replica that knows nothing."""
    return StateReplica(catalog, clock)
