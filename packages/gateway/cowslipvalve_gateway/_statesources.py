"""Where a host can read the state."""

import attrs

from cowslipvalve_gateway import _hostclients
from cowslipvalve_gateway import _stores
from cowslipvalve_gateway import _watcherchoices


@attrs.frozen(kw_only=True)
class StateSources:
    """The sources from which a host can read the state."""

    # The platform's store.
    store: _stores.StateStore
    # The client for other hosts.
    hosts: _hostclients.HostClient
    # Decides which hosts to ask and whether this host watches the store.
    choice: _watcherchoices.WatcherChoice
