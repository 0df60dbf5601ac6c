"""Tests of cowslipvalve_cli."""
