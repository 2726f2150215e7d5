"""Requests of other hosts that have arrived at a stopping host whose event loop stands still."""

from __future__ import annotations

import asyncio
import socket

import pytest

from standins._common import LOOPBACK
from standins.platform_world import free_port
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.gateway._delegate_server import DelegateServer
from tanagerscale.gateway._delegation_wire import HEAD_FIELD
from tanagerscale.gateway._delegation_wire import PATH
from tanagerscale.gateway._delegation_wire import encode_request
from tanagerscale.gateway._graceful_shutdown import DRAIN_POLL_INTERVAL_MS
from tanagerscale.gateway._graceful_shutdown import drain_requests
from testing._gateway_fakes import make_request

RESPONSES_DUE_S = 0.9
"""Grace period without time for requests that have not been sent yet."""


async def _serve(request: CallerRequest, responder: Responder) -> None:
    pytest.fail(f"Request {request.request} is served by a host that stops.")


def _encode() -> bytes:
    body = encode_request(make_request(), time_left_ms=1000)
    return f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


# Guards against closing connections of other hosts with requests that were not read: a request that
# must not be repeated then counts as run, and its caller gets a failure.
@pytest.mark.asyncio
@pytest.mark.parametrize("is_accepted", [False, True], ids=["backlog", "kept"])
async def test_delegated_request_is_answered_when_its_host_ends_after_a_stall(
    is_accepted: bool,
) -> None:
    address = (LOOPBACK, free_port())
    server = DelegateServer(serve=_serve, can_help=lambda: False, clock=Clock())
    await server.start(address=f"{address[0]}:{address[1]}")
    has_stalled = False

    async def sleep(duration_ms: int) -> None:
        nonlocal has_stalled
        # The timers of the whole time are due in the next iteration after a stall.
        await asyncio.sleep(duration_ms / MS_PER_SECOND if has_stalled else 0)
        if is_accepted and not has_stalled:
            host.send(_encode())
        has_stalled = True

    with socket.socket() as host:
        host.connect(address)
        host.setblocking(False)
        if is_accepted:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / MS_PER_SECOND)
        else:
            host.send(_encode())
        schedule = ShutdownSchedule(clock=Clock())
        schedule.begin(grace_s=RESPONSES_DUE_S)
        await drain_requests(
            servers=(server,), schedule=schedule, end_unfinishable=lambda: None, sleep=sleep
        )
        await server.close()
        async with asyncio.timeout(10):
            response = await asyncio.get_running_loop().sock_recv(host, 4096)
    assert HEAD_FIELD.encode() in response
