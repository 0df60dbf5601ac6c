"""Membership, leases and gossip between the hosts."""

from cowslipvalve_peers._exchanges import Exchange
from cowslipvalve_peers._exchanges import create_exchange
from cowslipvalve_peers._leases import LeaseTimes
from cowslipvalve_peers._leases import LeaseKeeper
from cowslipvalve_peers._leases import create_lease_keeper
from cowslipvalve_peers._tables import Key
from cowslipvalve_peers._tables import get_entry_key
from cowslipvalve_peers._tables import RecordTable
from cowslipvalve_peers._tables import create_record_table

__all__ = [
    "Exchange",
    "Key",
    "LeaseKeeper",
    "LeaseTimes",
    "RecordTable",
    "create_exchange",
    "create_lease_keeper",
    "create_record_table",
    "get_entry_key",
]
