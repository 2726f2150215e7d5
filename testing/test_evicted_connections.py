"""The count of descriptors when connections are closed for new ones."""

from __future__ import annotations

import asyncio
from random import Random

from prometheus_client import CollectorRegistry
import pytest

from standins._common import LOOPBACK
from standins.platform_world import free_port
from tanagerscale.core import Clock
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._delegate_server import DelegateServer
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.policy import make_host_budget
from testing.test_gateway_http import Codec

FILE_DESCRIPTORS = 202
"""Two connections beside the reserve."""
HANG_S = 20.0
POLL_S = 0.01


async def _open(address: str, data: bytes) -> asyncio.StreamWriter:
    """Connect and send the beginning of a request."""
    ip, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    await asyncio.sleep(0.1)
    return writer


# Guards against a count that stays too low, so that more connections are accepted than the host
# has descriptors for: the uploads of other hosts may be closed for callers, too.
@pytest.mark.asyncio
async def test_descriptors_are_counted_when_the_upload_of_another_host_is_closed_for_a_caller() -> (
    None
):
    async def serve(_request: CallerRequest, _responder: Responder) -> None:
        await asyncio.sleep(HANG_S)

    clock = Clock()
    budget, _ = make_host_budget(memory_mb=0, file_descriptors=FILE_DESCRIPTORS, link_mbps=0)
    limits = HostLimits(
        budget=budget,
        clock=clock,
        rng=Random(1),
        registry=CollectorRegistry(),
        count_other_connections=lambda: delegates.connections,
    )
    rules = CallerRules(
        body_bytes=lambda: 1000,
        header_timeout_ms=lambda: 20_000,
        idle_timeout_ms=lambda: 60_000,
    )
    callers = CallerServer(serve=serve, codec=Codec(), rules=rules, clock=clock, limits=limits)
    delegates = DelegateServer(serve=serve, can_help=lambda: True, clock=clock, limits=limits)
    callers_address, delegates_address = (f"{LOOPBACK}:{free_port()}" for _ in range(2))
    await callers.start(address=callers_address)
    await delegates.start(address=delegates_address)
    upload = b"POST /delegated HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf"
    request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    writers = [await _open(delegates_address, upload)]
    writers += [await _open(callers_address, request) for _ in range(2)]
    async with asyncio.timeout(HANG_S):
        while delegates.connections:
            await asyncio.sleep(POLL_S)
    open_connections = limits.measure().descriptors
    for writer in writers:
        writer.transport.abort()
    await callers.close()
    await delegates.close()
    assert open_connections == 2
