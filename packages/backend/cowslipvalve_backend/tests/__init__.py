"""Tests of cowslipvalve_backend."""
