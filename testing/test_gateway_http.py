"""Tests of the callers' HTTP connections on the wire."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import time

from aiohttp import web
import logbook
import pytest
import pytest_asyncio
from returns.result import Result
from returns.result import Success

from standins._common import LOOPBACK
from standins.platform_world import free_port
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._platform import CallerRules

RequestHandler = Callable[[CallerRequest, Responder], Awaitable[None]]
MAX_BODY_BYTES = 1000
HEADER_TIMEOUT_MS = 20_000
HEAD = b"POST /a/b?c HTTP/1.1\r\nHost: x\r\n"


class Codec:
    """Decodes only the parts of a request that the server needs."""

    def decode(
        self, request: web.BaseRequest, body: bytes, arrived: Millis
    ) -> Result[CallerRequest, Refusal]:
        """Return the decoded request."""
        return Success(
            CallerRequest(
                request=RequestId(request.headers.get("Id", "")),
                method=request.method,
                target=request.raw_path,
                host=request.headers["Host"],
                path=request.path,
                headers=(),
                body=body,
                key=None,
                time_left_ms=None,
                arrived=arrived,
                demand=None,
                resume_after="",
            )
        )

    def echoed_headers(self, request: web.BaseRequest) -> tuple[Header, ...]:
        """Return the id of the request."""
        return (("Id", request.headers.get("Id", "")),)


async def _echo(request: CallerRequest, responder: Responder) -> None:
    await responder.respond(status=200, reason="OK", headers=[], body=request.body)


@dataclass(slots=True)
class ServerHarness:
    """A running server whose handler and idle timeout a test may change."""

    server: CallerServer
    port: int
    serve: RequestHandler
    idle_timeout_ms: int = 60_000

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the server."""
        return await asyncio.open_connection(LOOPBACK, self.port)


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[ServerHarness]:
    """Run a server on a free port."""
    created: list[ServerHarness] = []

    async def serve(request: CallerRequest, responder: Responder) -> None:
        await created[0].serve(request, responder)

    port = free_port()
    server = CallerServer(
        serve=serve,
        codec=Codec(),
        rules=CallerRules(
            body_bytes=lambda: MAX_BODY_BYTES,
            header_timeout_ms=lambda: HEADER_TIMEOUT_MS,
            idle_timeout_ms=lambda: created[0].idle_timeout_ms,
        ),
        clock=Clock(),
    )
    created.append(ServerHarness(server=server, port=port, serve=_echo))
    await server.start(address=f"{LOOPBACK}:{port}")
    yield created[0]
    await server.close()


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one response that has a content length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return int(head.split(b" ")[1]), await reader.readexactly(length)


@pytest.mark.asyncio
async def test_connection_carries_several_requests(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    for text in (b"one", b"two"):
        writer.write(HEAD + b"Content-Length: 3\r\n\r\n" + text)
        assert await _read_response(reader) == (200, text)
    writer.close()


@pytest.mark.asyncio
async def test_body_in_chunks_is_read_whole(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    chunks = b"3\r\none\r\n4\r\n-two\r\n0\r\n\r\n"
    writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
    assert await _read_response(reader) == (200, b"one-two")
    writer.close()


@pytest.mark.asyncio
@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s HTTP/1.1\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        b"Content-Length: x\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
async def test_ambiguous_request_is_not_served(harness: ServerHarness, rest: bytes) -> None:
    seen: list[str] = []

    async def record(request: CallerRequest, responder: Responder) -> None:
        seen.append(request.target)
        await _echo(request, responder)

    harness.serve = record
    reader, writer = await harness.open()
    writer.write(HEAD + rest)
    writer.write_eof()
    answer = await reader.read()
    assert b" 200 " not in answer
    assert seen == []
    writer.close()


@pytest.mark.asyncio
async def test_body_is_refused_when_it_is_too_large(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 5000\r\n\r\n")
    status, _ = await _read_response(reader)
    assert status == 413
    writer.close()


@pytest.mark.asyncio
async def test_caller_that_expects_100_continue_receives_it(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
    assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"one")
    assert await _read_response(reader) == (200, b"one")
    writer.close()


@pytest.mark.asyncio
async def test_refusal_has_a_retry_time_and_the_echoed_id(harness: ServerHarness) -> None:
    async def refuse(request: CallerRequest, responder: Responder) -> None:
        refusal = Refusal(kind=RefusalKind.OVERLOADED, detail="Come back.", retry_after_ms=1500)
        await responder.refuse(refusal=refusal)

    harness.serve = refuse
    reader, writer = await harness.open()
    writer.write(HEAD + b"Id: 7\r\nContent-Length: 0\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"503" in head
    assert b"Retry-After: 1.500" in head
    assert b"Id: 7" in head
    writer.close()


@pytest.mark.asyncio
async def test_aborted_response_does_not_look_complete(harness: ServerHarness) -> None:
    async def abort_early(request: CallerRequest, responder: Responder) -> None:
        await responder.begin(status=200, reason="OK", headers=[])
        await responder.write(b"half")
        responder.abort()

    harness.serve = abort_early
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    answer = b""
    try:
        answer = await reader.read()
    except ConnectionError:
        answer = b""
    assert b"0\r\n\r\n" not in answer
    writer.close()


@pytest.mark.asyncio
async def test_handler_is_cancelled_when_its_caller_disconnects(harness: ServerHarness) -> None:
    started, ended = asyncio.Event(), asyncio.Event()

    async def wait(request: CallerRequest, responder: Responder) -> None:
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    harness.serve = wait
    _, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    await started.wait()
    writer.transport.abort()
    await asyncio.wait_for(ended.wait(), 20)


@pytest.mark.asyncio
async def test_connection_is_closed_when_it_is_idle_for_too_long(harness: ServerHarness) -> None:
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    await _read_response(reader)
    harness.server.close_idle()
    assert not reader.at_eof()
    harness.idle_timeout_ms = -1
    harness.server.close_idle()
    assert await reader.read() == b""
    writer.close()


@pytest.mark.asyncio
async def test_connection_with_a_running_request_is_not_closed_as_idle(
    harness: ServerHarness,
) -> None:
    started, release = asyncio.Event(), asyncio.Event()

    async def slow(request: CallerRequest, responder: Responder) -> None:
        started.set()
        await release.wait()
        await _echo(request, responder)

    harness.serve = slow
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
    await started.wait()
    harness.idle_timeout_ms = -1
    for _ in range(5):
        harness.server.close_idle()
        await asyncio.sleep(0.02)
    release.set()
    assert await _read_response(reader) == (200, b"one")
    writer.close()


@pytest.mark.asyncio
async def test_request_already_read_is_answered_when_its_idle_connection_is_closed(
    harness: ServerHarness,
) -> None:
    """The request is read in the same iteration of the event loop that closes the connection."""
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
    await _read_response(reader)
    harness.idle_timeout_ms = -1
    (protocol,) = harness.server._server.connections
    protocol.data_received(HEAD + b"Content-Length: 3\r\n\r\ntwo")
    harness.server.close_idle()
    assert await _read_response(reader) == (200, b"two")
    assert await reader.read() == b""
    writer.close()


# Guards against requests that are passed on and cut because their idle connection is closed.
@pytest.mark.asyncio
@pytest.mark.parametrize("stall_ms", [0, 20, 50, 200])
async def test_request_already_read_is_answered_when_the_event_loop_stalls_at_the_close(
    harness: ServerHarness, stall_ms: int
) -> None:
    async def respond_later(request: CallerRequest, responder: Responder) -> None:
        await asyncio.sleep(0.05)
        await _echo(request, responder)

    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
    await _read_response(reader)
    harness.serve = respond_later
    (protocol,) = harness.server._server.connections
    protocol.data_received(HEAD + b"Content-Length: 3\r\n\r\ntwo")
    harness.server.close_idle(limit_ms=-1)
    time.sleep(stall_ms / MS_PER_SECOND)  # noqa: ASYNC251
    assert await _read_response(reader) == (200, b"two")
    assert await reader.read() == b""
    writer.close()


@pytest.mark.asyncio
async def test_request_is_answered_when_only_its_head_was_read_at_the_close(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
    await _read_response(reader)
    (protocol,) = harness.server._server.connections
    protocol.data_received(HEAD + b"Content-Length: 3\r\n\r\n")
    harness.server.close_idle(limit_ms=-1)
    await asyncio.sleep(0.01)
    writer.write(b"two")
    async with asyncio.timeout(20):
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head.lower()
        assert await reader.read() == b"two"
    writer.close()


@pytest.mark.asyncio
async def test_each_connection_is_closed_after_its_response_when_the_host_stops(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.open()
    harness.server.begin_shutdown()
    writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"connection: close" in head.lower()
    assert await reader.read() == b"one"
    writer.close()


# Guards against kept connections that a stopping host must close while their callers send on them.
@pytest.mark.asyncio
async def test_connection_is_closed_when_the_shutdown_begins_before_its_response(
    harness: ServerHarness,
) -> None:
    started, release = asyncio.Event(), asyncio.Event()

    async def slow(request: CallerRequest, responder: Responder) -> None:
        started.set()
        await release.wait()
        await _echo(request, responder)

    harness.serve = slow
    reader, writer = await harness.open()
    writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
    await started.wait()
    harness.server.begin_shutdown()
    release.set()
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"connection: close" in head.lower()
    assert await reader.read() == b"one"
    writer.close()


@pytest.mark.asyncio
async def test_log_tells_a_kept_connection_when_a_request_arrives_during_the_shutdown(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.open()
    writer.write(HEAD + b"Id: 1\r\nContent-Length: 0\r\n\r\n")
    await _read_response(reader)
    harness.server.begin_shutdown()
    with logbook.TestHandler().applicationbound() as logs:
        writer.write(HEAD + b"Id: 2\r\nContent-Length: 0\r\n\r\n")
        await _read_response(reader)
    (record,) = [one for one in logs.records if "during the shutdown" in one.message]
    assert record.kwargs["request"] == "2"
    assert record.kwargs["earlier_requests"] == 1
    writer.close()
