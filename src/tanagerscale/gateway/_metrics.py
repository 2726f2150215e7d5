"""The address where a host's counters are read."""

from __future__ import annotations

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest


async def serve_metrics(*, registry: CollectorRegistry, address: str) -> web.ServerRunner:
    """Serve counters as text.

    :param registry: What is counted.
    :param address: IP number and port.
    :returns: What ends it.
    """

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host.strip("[]"), int(port)).start()
    return runner
