"""Runs the platform stand-in: python -m cowslipvalve_standins.platform PORT."""

import sys

from aiohttp import web

from cowslipvalve_standins import _platform


def main() -> None:
    """Serves until the process is terminated."""
    web.run_app(
        _platform.create_platform().create_app(),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
    )


if __name__ == "__main__":
    main()
