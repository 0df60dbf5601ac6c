"""Tests of cowslipvalve_platform."""
