"""Decisions on limits, warm-up, retries, snapshots and quarantine."""

from cowslipvalve_base import rank_names
from cowslipvalve_base import choose_name
from cowslipvalve_policy._budgets import ExtraLoadBudget
from cowslipvalve_policy._budgets import create_extra_load_budget
from cowslipvalve_policy._fingerprints import compute_fingerprint
from cowslipvalve_policy._fingerprints import HarmlessBodies
from cowslipvalve_policy._fingerprints import CrashEvidence
from cowslipvalve_policy._fingerprints import CrashRecord
from cowslipvalve_policy._fingerprints import create_harmless_bodies
from cowslipvalve_policy._fingerprints import create_crash_record
from cowslipvalve_policy._latencies import LatencyWindow
from cowslipvalve_policy._latencies import create_latency_window
from cowslipvalve_policy._snapshots import SnapshotView
from cowslipvalve_policy._snapshots import collect_snapshots
from cowslipvalve_policy._snapshots import choose_snapshot
from cowslipvalve_policy._warmups import WarmUpGate
from cowslipvalve_policy._warmups import create_warm_up_gate

__all__ = [
    "CrashRecord",
    "ExtraLoadBudget",
    "HarmlessBodies",
    "LatencyWindow",
    "SnapshotView",
    "CrashEvidence",
    "WarmUpGate",
    "choose_name",
    "choose_snapshot",
    "collect_snapshots",
    "compute_fingerprint",
    "create_extra_load_budget",
    "create_crash_record",
    "create_harmless_bodies",
    "create_latency_window",
    "create_warm_up_gate",
    "rank_names",
]
