"""The command cowslipvalved."""

import argparse
import asyncio
import signal
import sys

import cowslipvalve_model as model
from cowslipvalve_daemon import _daemon
from cowslipvalve_daemon import _logs
from cowslipvalve_daemon import _settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


async def _run(settings: _settings.Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await _daemon.run_daemon(settings, stop)


def main() -> None:
    """Runs the daemon with the settings file named on the command line."""
    parser = argparse.ArgumentParser(
        prog="cowslipvalved", description="The cowslipvalve daemon."
    )
    parser.add_argument("settings", help="the path of the JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and end"
    )
    arguments = parser.parse_args()
    try:
        settings = _settings.load_settings(arguments.settings)
    except model.SettingsError as error:
        print(f"cowslipvalved: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if arguments.check:
        sys.exit(EXIT_OK)
    _logs.configure_logs(settings.log_level, settings.host)
    try:
        asyncio.run(_run(settings))
    except (OSError, model.CowslipvalveError) as error:
        print(f"cowslipvalved: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(EXIT_OK)
