"""Runs the client: python -m cowslipvalve_cli."""

from cowslipvalve_cli import _main

_main.main()
