"""Runs stand-in servers: python -m cowslipvalve_standins.servers FILE.

The file contains a JSON list of ServerShape objects. Each server listens on its
own port.
"""

import asyncio
import pathlib
import sys

import orjson
from aiohttp import web

import cowslipvalve_model as model
from cowslipvalve_standins import _server
from cowslipvalve_standins import _servertypes


async def _serve(shapes: list[_servertypes.ServerShape]) -> None:
    for shape in shapes:
        app = _server.create_server(shape).create_app()
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await runner.setup()
        host, _, port = shape.address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serves until the process is terminated."""
    items = orjson.loads(pathlib.Path(sys.argv[1]).read_bytes())
    shapes = [
        model.from_plain(_servertypes.ServerShape, item) for item in items
    ]
    asyncio.run(_serve(shapes))


if __name__ == "__main__":
    main()
