"""Tests of cowslipvalve_standins."""
