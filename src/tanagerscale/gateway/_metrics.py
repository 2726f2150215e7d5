"""HTTP endpoint of a host's metrics."""

from __future__ import annotations

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from tanagerscale.core import Clock
from tanagerscale.gateway._gated_server import GatedServer
from tanagerscale.gateway._input_context import InputContext


async def serve_metrics(
    *,
    registry: CollectorRegistry,
    address: str,
    clock: Clock,
    context: InputContext | None = None,
) -> web.ServerRunner:
    """Serve metrics in the Prometheus text format.

    :param registry: Registry of the metrics.
    :param address: IP address and port to listen on.
    :param clock: Clock that measures idle times.
    :param context: What connections of all listeners share; ``None`` for nothing.
    :returns: The runner; its ``cleanup`` stops the server.
    """

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    runner = web.ServerRunner(GatedServer(handle, clock=clock, context=context))
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host.strip("[]"), int(port)).start()
    return runner
