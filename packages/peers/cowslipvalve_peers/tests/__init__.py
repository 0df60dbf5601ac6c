"""Tests of cowslipvalve_peers."""
