"""The command line of cowslipvalved."""

import asyncio
import gc
import signal
import sys

import cyclopts

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


app = cyclopts.App(
    name="cowslipvalved",
    help="Runs the cowslipvalve daemon of one host.",
    result_action="return_value",
)


@app.default
def serve(settings: str, *, check: bool = False) -> int:
    """Serves callers and peers until SIGTERM or SIGINT, then drains and exits.

    Args:
      settings: The path of the JSON settings file.
      check: Only check the settings file, then exit.
    """
    try:
        checked = _settings.load_settings(settings)
    except model.SettingsError as error:
        print(f"cowslipvalved: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        return EXIT_OK
    # Imported modules live until the process exits; freezing them spares the
    # garbage collector from scanning them.
    gc.freeze()
    _logs.configure_logs(checked.log_level, checked.host)
    try:
        asyncio.run(_run(checked))
    except (OSError, model.CowslipvalveError) as error:
        print(f"cowslipvalved: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(app())
