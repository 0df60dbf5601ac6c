"""The HTTP interface for operators' tools and the load balancer."""

from collections.abc import Callable

from aiohttp import web

from cowslipvalve_daemon import _metrics

_HTTP_UNAVAILABLE = 503


def create_operations_app(
    explain_unready: Callable[[], str],
) -> web.Application:
    """Creates the application with the health, readiness and metrics routes.

    Args:
      explain_unready: Returns why the host is not ready, or an empty string
        if it is.
    """

    async def report_health(_request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def report_readiness(_request: web.Request) -> web.Response:
        reason = explain_unready()
        if reason:
            return web.Response(text=reason + "\n", status=_HTTP_UNAVAILABLE)
        return web.Response(text="ready\n")

    async def report_metrics(_request: web.Request) -> web.Response:
        return web.Response(
            body=_metrics.render_metrics(), content_type="text/plain"
        )

    app = web.Application()
    app.router.add_get("/healthz", report_health)
    app.router.add_get("/readyz", report_readiness)
    app.router.add_get("/metrics", report_metrics)
    return app
