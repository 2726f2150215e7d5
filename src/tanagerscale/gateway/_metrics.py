"""HTTP endpoint of a host's metrics."""

from __future__ import annotations

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest


async def serve_metrics(*, registry: CollectorRegistry, address: str) -> web.ServerRunner:
    """Serve metrics in the Prometheus text format.

    :param registry: Registry of the metrics.
    :param address: IP address and port to listen on.
    :returns: The runner; its ``cleanup`` stops the server.
    """

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host.strip("[]"), int(port)).start()
    return runner
