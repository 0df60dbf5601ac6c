"""The cowslipvalve daemon, which runs on every host."""

from cowslipvalve_daemon._daemon import Daemon
from cowslipvalve_daemon._daemon import run_daemon
from cowslipvalve_daemon._main import main
from cowslipvalve_daemon._settings import Settings
from cowslipvalve_daemon._settings import load_settings

__all__ = ["Daemon", "Settings", "load_settings", "main", "run_daemon"]
