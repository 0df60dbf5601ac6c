"""Tests of cowslipvalve_model."""
