"""Tests of cowslipvalve_store."""
