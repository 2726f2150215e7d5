"""What a host that ends logs of the answers that callers have not read."""

from __future__ import annotations

import asyncio
import socket

import logbook
import pytest

from standins._common import LOOPBACK
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._graceful_shutdown import MIN_IDLE_MS
from testing.test_gateway_http import HEAD
from testing.test_gateway_http import ServerHarness
from testing.test_gateway_http import harness as harness

RECEIVE_BUFFER_BYTES = 4096
PART_BYTES = 16_384
MAX_HEAD_BYTES = 1000


# Guards against a complete answer that its caller hasn't read and no line tells of: its connection
# counts as idle as the host shuts down, and is no longer looked at.
@pytest.mark.asyncio
async def test_unread_answer_is_logged_when_the_host_has_closed_its_idle_connections(
    harness: ServerHarness,
) -> None:
    async def serve(request: CallerRequest, responder: Responder) -> None:
        await responder.begin(status=200, reason="OK", headers=[])
        (transport,) = harness.server._get_transports()
        while not transport.get_write_buffer_size():
            await responder.write(b"x" * PART_BYTES)
        await responder.end()

    harness.serve = serve
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, (LOOPBACK, harness.port))
    caller.send(HEAD + b"Id: 7\r\nContent-Length: 0\r\n\r\n")
    await asyncio.sleep(0.5)
    (protocol,) = harness.server._connections
    assert not protocol.use.is_handling
    harness.server.begin_shutdown()
    assert not harness.server.drain(idle_ms=MIN_IDLE_MS)
    await asyncio.sleep(0.1)
    assert not harness.server.drain(idle_ms=MIN_IDLE_MS)
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        await harness.server.close()
    caller.close()
    messages = [record.message for record in logs.records]
    assert messages == ["A caller has not read its response as the host ends."]


# Guards against a line that blames an error of the host for an answer that is cut as it ends: the
# handler of a slow caller isn't cancelled, and its next write fails.
@pytest.mark.asyncio
async def test_handler_is_cancelled_when_the_host_closes_the_connection_of_a_slow_caller(
    harness: ServerHarness,
) -> None:
    ended: list[BaseException] = []

    async def serve(request: CallerRequest, responder: Responder) -> None:
        await responder.begin(status=200, reason="OK", headers=[])
        (transport,) = harness.server._get_transports()
        while not transport.get_write_buffer_size():
            await responder.write(b"x" * PART_BYTES)
        try:
            while True:
                await responder.write(b"x")
                await asyncio.sleep(0.01)
        except BaseException as error:
            ended.append(error)
            raise

    harness.serve = serve
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, (LOOPBACK, harness.port))
    caller.send(HEAD + b"Id: 7\r\nContent-Length: 0\r\n\r\n")
    await asyncio.sleep(0.5)
    harness.server.begin_shutdown()
    await harness.server.close()
    caller.close()
    assert [type(error) for error in ended] == [asyncio.CancelledError]


# Guards against a complete answer that its caller hasn't read and no line tells of: the kernel has
# all of it.
@pytest.mark.asyncio
async def test_unread_answer_is_logged_when_it_waits_in_the_kernel(harness: ServerHarness) -> None:
    async def serve(request: CallerRequest, responder: Responder) -> None:
        await responder.respond(status=200, reason="OK", headers=[], body=b"x" * 2 * PART_BYTES)

    harness.serve = serve
    caller = await _connect(harness)
    caller.send(HEAD + b"Id: 7\r\nContent-Length: 0\r\n\r\n")
    await asyncio.sleep(0.2)
    (transport,) = harness.server._get_transports()
    assert not transport.get_write_buffer_size()
    harness.server.begin_shutdown()
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        await harness.server.close()
    caller.close()
    (line,) = logs.records
    assert line.message == "A caller has not read its response as the host ends."
    assert (line.kwargs["request"], line.kwargs["is_complete"]) == ("7", True)
    assert 0 < line.kwargs["unread_bytes"] <= 2 * PART_BYTES + MAX_HEAD_BYTES


# Guards against an answer that the kernel drops without a line: a socket that is closed with unread
# bytes resets its connection.
@pytest.mark.asyncio
async def test_connection_is_logged_when_it_is_closed_with_bytes_of_its_caller_unread(
    harness: ServerHarness,
) -> None:
    async def serve(request: CallerRequest, responder: Responder) -> None:
        await responder.respond(status=200, reason="OK", headers=[], body=b"")
        (protocol,) = harness.server._connections
        assert protocol.transport is not None
        protocol.transport.pause_reading()
        caller.send(HEAD)
        await asyncio.sleep(0.1)

    harness.serve = serve
    harness.server.begin_shutdown()
    caller = await _connect(harness)
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        caller.send(HEAD + b"Id: 7\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.3)
    caller.close()
    (line,) = logs.records
    assert line.message == "A connection is closed with bytes of its caller unread."
    assert (line.kwargs["request"], line.kwargs["unread_request_bytes"]) == ("7", len(HEAD))


async def _connect(harness: ServerHarness) -> socket.socket:
    """Connect a caller that can receive little without reading."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, (LOOPBACK, harness.port))
    return caller
