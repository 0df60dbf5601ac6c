"""Runs the daemon by python -m cowslipvalve_daemon."""

from cowslipvalve_daemon import _main

_main.main()
