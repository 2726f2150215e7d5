"""What a host logs of requests whose connections end before it has forwarded them."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from aiohttp import web
import logbook
import pytest

from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._connections import CallerProtocol
from testing.test_gateway_http import HEAD
from testing.test_gateway_http import ServerHarness
from testing.test_gateway_http import harness as harness

MESSAGE = "A request has ended before it was forwarded."


def _lines(logs: logbook.TestHandler) -> list[dict[str, Any]]:
    return [record.kwargs for record in logs.records if record.message == MESSAGE]


def _unfinished(identity: str) -> bytes:
    return HEAD + f"Id: {identity}\r\nContent-Length: 10\r\n\r\n123".encode()


def _whole(identity: str) -> bytes:
    return HEAD + f"Id: {identity}\r\nContent-Length: 0\r\n\r\n".encode()


# Guards against a request that no line names, as its id is logged only once it has been decoded.
@pytest.mark.asyncio
async def test_request_is_named_when_the_host_ends_while_its_body_arrives(
    harness: ServerHarness,
) -> None:
    _, writer = await harness.open()
    writer.write(_unfinished("7"))
    await asyncio.sleep(0.1)
    harness.server.begin_shutdown()
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        await harness.server.close()
    writer.close()
    (line,) = _lines(logs)
    assert (line["request"], line["closed_by"], line["has_begun"]) == ("7", "this-host", True)


@pytest.mark.asyncio
async def test_request_is_named_when_its_caller_resets_the_connection_while_its_body_arrives(
    harness: ServerHarness,
) -> None:
    _, writer = await harness.open()
    writer.write(_unfinished("7"))
    await asyncio.sleep(0.1)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with logbook.TestHandler().applicationbound() as logs:
        writer.transport.abort()
        await asyncio.sleep(0.1)
    (line,) = _lines(logs)
    assert (line["request"], line["closed_by"], line["errno"]) == ("7", "reset", 104)


# Guards against a request that no line names, or whose client waits: its body is invalid.
@pytest.mark.asyncio
async def test_request_is_named_when_its_body_is_invalid(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    with logbook.TestHandler().applicationbound() as logs:
        writer.write(HEAD + b"Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.write(b"not a size\r\n")
        answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 400 ")
    (line,) = _lines(logs)
    assert (line["request"], line["closed_by"], line["has_begun"]) == ("7", "this-host", True)


# Guards against a request that no line names: it was read, and its connection is closed after the
# response before it.
@pytest.mark.asyncio
async def test_request_is_named_when_its_connection_is_closed_after_the_response_before_it(
    harness: ServerHarness,
) -> None:
    async def serve(request: CallerRequest, responder: Responder) -> None:
        await asyncio.sleep(0.1)
        await responder.respond(status=200, reason="OK", headers=[], body=b"")

    harness.serve = serve
    harness.server.begin_shutdown()
    reader, writer = await harness.open()
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        writer.write(_whole("7") + _whole("8"))
        await reader.read()
        await asyncio.sleep(0.1)
    writer.close()
    (line,) = _lines(logs)
    assert (line["request"], line["closed_by"], line["has_begun"]) == ("8", "this-host", False)


# Guards against a request that no line names: its handler is cancelled before its first step.
@pytest.mark.asyncio
async def test_request_is_named_when_its_connection_is_closed_before_its_handler_starts(
    harness: ServerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    make_request = harness.server._server.request_factory

    def make_and_close(*arguments: Any) -> web.BaseRequest:
        request = make_request(*arguments)
        assert isinstance(request.protocol, CallerProtocol)
        request.protocol.force_close()
        return request

    monkeypatch.setattr(harness.server._server, "request_factory", make_and_close)
    harness.server.begin_shutdown()
    reader, writer = await harness.open()
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        writer.write(_whole("7"))
        await reader.read()
        await asyncio.sleep(0.1)
    writer.close()
    (line,) = _lines(logs)
    assert (line["request"], line["has_begun"]) == ("7", False)


@pytest.mark.asyncio
async def test_no_request_is_named_when_all_were_answered(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    with logbook.TestHandler().applicationbound() as logs:
        writer.write(_whole("7") + _whole("8"))
        writer.write(b"not a request\r\n\r\n")
        await reader.read()
        await asyncio.sleep(0.1)
    writer.close()
    assert not _lines(logs)
