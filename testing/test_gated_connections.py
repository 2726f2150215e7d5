"""Connections on which clients mix requests within the limits and input outside them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise

from aiohttp import web
from aiohttp.test_utils import RawTestServer
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from standins._common import LOOPBACK
from standins.platform_world import free_port
from tanagerscale.core import Clock
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._body_reader import BodyReader
from tanagerscale.gateway._caller_handler import STATUS_BY_REFUSAL
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._platform import CallerRules
from testing._limited_host import LimitedHost
from testing._limited_host import MemoryCaller
from testing.test_gateway_http import Codec

HEAD_BYTES = 300
BODY_BYTES = 70_000
HEADER_TIMEOUT_MS = 200
CHECK_INTERVAL_MS = 50
HANG_S = 20.0
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass
class _Server:
    """A callers' server that echoes bodies.

    :param server: The server.
    :param port: Its port.
    :param served: Path and body of each request that was served.
    """

    server: CallerServer
    port: int
    served: list[tuple[str, bytes]] = field(default_factory=list)

    async def send(self, *parts: bytes, ends: bool = True) -> bytes:
        """Send parts on one connection, and return all that comes until it is closed.

        :param parts: What is sent, one part after the other.
        :param ends: Whether the sending direction is ended behind them.
        """
        async with asyncio.timeout(HANG_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            try:
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(0)
                reading = asyncio.create_task(reader.read())
                if ends:
                    # The connection ends for the server once its responses have come.
                    await asyncio.wait([reading], timeout=0.3)
                    if not reading.done():
                        writer.write_eof()
                return await reading
            finally:
                writer.transport.abort()


@asynccontextmanager
async def _start() -> AsyncIterator[_Server]:
    """Run a server on a free port."""
    served: list[tuple[str, bytes]] = []

    async def serve(request: CallerRequest, responder: Responder) -> None:
        served.append((request.path, request.body))
        await responder.respond(status=200, reason="OK", headers=[], body=b"")

    port = free_port()
    server = CallerServer(
        serve=serve,
        codec=Codec(),
        rules=CallerRules(
            body_bytes=lambda: BODY_BYTES,
            header_timeout_ms=lambda: HEADER_TIMEOUT_MS,
            idle_timeout_ms=lambda: 60_000,
            header_bytes=lambda: HEAD_BYTES,
        ),
        clock=Clock(),
        is_allowed=lambda head: head.path != "/forbidden",
    )

    async def check() -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            server.close_idle(interval_ms=CHECK_INTERVAL_MS)

    await server.start(address=f"{LOOPBACK}:{port}")
    checking = asyncio.create_task(check())
    try:
        yield _Server(server=server, port=port, served=served)
    finally:
        checking.cancel()
        await server.close()


def _statuses(answer: bytes) -> list[int]:
    """Return the status of each response."""
    return [
        int(part[:3]) for part in answer.replace(b"HTTP/1.0 ", b"HTTP/1.1 ").split(b"HTTP/1.1 ")[1:]
    ]


def _request(target: str, framing: bytes, body: bytes) -> bytes:
    return b"POST %s HTTP/1.1\r\nHost: x\r\nId: 1\r\n%s\r\n\r\n%s" % (
        target.encode(),
        framing,
        body,
    )


def _whole(target: str, body: bytes) -> bytes:
    return _request(target, b"Content-Length: %d" % len(body), body)


def _chunked(target: str, body: bytes, *, size: int = 1) -> bytes:
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return _request(target, b"Transfer-Encoding: chunked", chunks + b"0\r\n\r\n")


OUTSIDE: dict[str, tuple[bytes, int]] = {
    "head_over_the_limit": (b"GET /x HTTP/1.1\r\nA: " + b"x" * HEAD_BYTES + b"\r\n\r\n", 431),
    "line_without_end": (b"GET /" + b"x" * 4 * HEAD_BYTES, 431),
    "empty_lines": (b"\r\n" * HEAD_BYTES, 431),
    "no_request": (b"garbage\r\n\r\n", 400),
    "no_chunks": (_request("/x", b"Transfer-Encoding: chunked", b"zz\r\n"), 400),
    "two_lengths": (_request("/x", b"Content-Length: 3\r\nContent-Length: 4", b"abcd"), 400),
    "large_body": (_request("/x", b"Content-Length: %d" % (BODY_BYTES + 1), b""), 413),
    "large_chunk": (_chunked("/x", b"x" * (BODY_BYTES + 1), size=BODY_BYTES + 1), 413),
    "forbidden_body": (_request("/forbidden", b"Content-Length: 69000", b""), 200),
    "half_a_head": (b"GET /x HTTP/1.1\r\nHost: ", 408),
}
"""Input after which nothing more is read, and the status that it gets. The path that is not allowed
is served without its body."""


# Guards against input behind a refused request that is taken for the next one.
@pytest.mark.asyncio
@pytest.mark.parametrize("form", OUTSIDE)
async def test_nothing_is_served_behind_input_that_is_refused(form: str) -> None:
    data, status = OUTSIDE[form]
    behind = b"" if form == "half_a_head" else SMUGGLED * 3
    async with _start() as server:
        answer = await server.send(_whole("/a", b"1"), data, behind, behind, ends=False)
    assert _statuses(answer) == [200, status]
    paths = [path for path, _ in server.served]
    assert paths == ["/a", "/forbidden"] if form == "forbidden_body" else paths == ["/a"]


_legal = st.one_of(
    st.builds(_whole, st.sampled_from(["/a", "/b"]), st.binary(max_size=200)),
    st.builds(
        _chunked,
        st.sampled_from(["/c", "/d"]),
        st.binary(max_size=200),
        size=st.sampled_from([1, 2, 16, 300]),
    ),
    st.builds(lambda body: b"\r\n" + _whole("/e", body), st.just(SMUGGLED)),
)


@given(
    st.lists(_legal, max_size=6),
    st.sampled_from(sorted(set(OUTSIDE) - {"half_a_head", "forbidden_body"})),
    st.lists(st.integers(0, 5000), max_size=8),
)
@settings(derandomize=True, deadline=None, max_examples=40)
def test_requests_before_refused_input_are_served_when_it_is_cut_anywhere(
    requests: list[bytes], form: str, cuts: list[int]
) -> None:
    outside, status = OUTSIDE[form]
    data = b"".join(requests) + outside + SMUGGLED
    places = [0, *sorted(cut % len(data) for cut in cuts), len(data)]

    async def run() -> tuple[list[int], list[str]]:
        async with _start() as server:
            parts = [data[start:end] for start, end in pairwise(places)]
            answer = await server.send(*parts, ends=False)
            return _statuses(answer), [path for path, _ in server.served]

    statuses, paths = asyncio.run(run())
    assert statuses == [200] * len(requests) + [status]
    assert len(paths) == len(requests)
    assert "/smuggled" not in paths


@pytest.mark.asyncio
@pytest.mark.parametrize("size", [1, 3, 4096])
async def test_body_is_whole_when_it_comes_in_small_chunks(size: int) -> None:
    body = bytes(range(256)) * 200
    async with _start() as server:
        answer = await server.send(_chunked("/a", body, size=size), _whole("/b", b"2"))
    assert _statuses(answer) == [200, 200]
    assert server.served == [("/a", body), ("/b", b"2")]


@pytest.mark.asyncio
async def test_connection_is_closed_without_a_response_when_only_empty_lines_come() -> None:
    async with _start() as server:
        assert await server.send(b"\r\n\r\n", ends=False) == b""
        assert _statuses(await server.send(b"\r\n" + _whole("/a", b""))) == [200]


@pytest.mark.asyncio
async def test_ordinary_requests_are_served_while_a_body_in_small_chunks_is_decoded() -> None:
    body = _chunked("/slow", b"x" * BODY_BYTES)
    async with _start() as server:
        reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
        writer.write(body)
        for _ in range(3):
            assert _statuses(await server.send(_whole("/a", b""))) == [200]
        assert b" 200 " in await reader.readline()
        writer.transport.abort()


def _begin_upload(host: LimitedHost, target: bytes, *, size: int) -> MemoryCaller:
    """Send the head of a request and half of its body."""
    caller = host.accept(MemoryCaller())
    head = b"POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (target, size)
    caller.protocol.data_received(head + b"x" * (size // 2))
    return caller


# Guards against a body that is forwarded without the parts that were given up.
@pytest.mark.asyncio
async def test_upload_is_not_served_when_it_is_given_up_as_its_last_part_arrives() -> None:
    served: list[CallerRequest] = []

    async def serve(request: CallerRequest, responder: Responder) -> None:
        served.append(request)
        await responder.respond(status=200, reason="OK", headers=[], body=b"")

    host = LimitedHost(serve=serve, memory_mb=150)
    caller = _begin_upload(host, b"/a", size=1000)
    await asyncio.sleep(0.05)
    caller.protocol.data_received(b"x" * 500)
    assert host.limits.uploads.give_up_one(now=host.clock.now())
    await asyncio.sleep(0.05)
    assert caller.received.startswith(b"HTTP/1.1 503 ")
    assert served == []


# Guards against requests that are refused for the sake of uploads that never end.
@pytest.mark.asyncio
async def test_slowest_upload_is_given_up_when_a_small_request_needs_its_space() -> None:
    async def serve(_request: CallerRequest, responder: Responder) -> None:
        await responder.respond(status=200, reason="OK", headers=[], body=b"")

    host = LimitedHost(serve=serve, memory_mb=59)
    slow = _begin_upload(host, b"/slow", size=200_000)
    await asyncio.sleep(0.05)
    fast = _begin_upload(host, b"/fast", size=240_000)
    await asyncio.sleep(0.05)
    ordinary = host.accept(MemoryCaller())
    await ordinary.send(
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20_000
    )
    await asyncio.sleep(0.05)
    assert ordinary.received.startswith(b"HTTP/1.1 200 ")
    assert slow.received.startswith(b"HTTP/1.1 503 ")
    assert fast.received == b""


@pytest.mark.asyncio
async def test_upload_is_refused_as_not_run_when_its_client_has_no_time_left() -> None:
    reader = BodyReader(
        rules=CallerRules(
            body_bytes=lambda: BODY_BYTES,
            header_timeout_ms=lambda: HEADER_TIMEOUT_MS,
            idle_timeout_ms=lambda: 60_000,
        ),
        clock=Clock(),
    )
    read: list[bytes | Refusal] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        read.append(await reader.read(request, None, time_left_ms=50))
        return web.Response()

    async with RawTestServer(handle) as server:
        _, writer = await asyncio.open_connection(server.host, server.port)
        writer.write(_request("/a", b"Content-Length: 3", b"ab"))
        async with asyncio.timeout(HANG_S):
            while not read:
                await asyncio.sleep(0.01)
        writer.transport.abort()
    (refusal,) = read
    assert isinstance(refusal, Refusal)
    assert STATUS_BY_REFUSAL[refusal.kind] == 408
