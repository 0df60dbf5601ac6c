"""Tests of the shared base."""
