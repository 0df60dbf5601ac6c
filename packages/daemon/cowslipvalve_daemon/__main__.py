"""Runs the daemon as python -m cowslipvalve_daemon."""

from cowslipvalve_daemon import _main

_main.main()
