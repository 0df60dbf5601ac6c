"""Tests of cowslipvalve_daemon."""
