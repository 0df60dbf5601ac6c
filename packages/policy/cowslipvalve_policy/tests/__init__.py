"""Tests of cowslipvalve_policy."""
