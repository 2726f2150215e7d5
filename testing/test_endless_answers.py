"""An upstream or a store that sends bytes without end costs one connection, and little memory."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from msgspec.structs import replace
import pytest
import pytest_asyncio
from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._headers import REQUEST_ID
from tanagerscale.platform._store import PlatformStore
from tanagerscale.store import StoreRevision
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ExchangeError
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_request

HANG_S = 30
"""Much longer than any read takes; a test that waits so long has failed."""
CHUNK = b"x" * 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest answer that is kept."""
SOCKET_BUFFER_BYTES = 16 * 1024 * 1024
"""Bytes that the sockets and the parser may hold in addition."""
MAX_SENT_BYTES = MAX_BODY_BYTES + SOCKET_BUFFER_BYTES
REPLIES = {
    "long status line": (b"HTTP/1.1 200 ", CHUNK),
    "long field": (b"HTTP/1.1 200 OK\r\nA: ", CHUNK),
    "many fields": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 10_000),
    "many interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
    "no head": (b"", CHUNK),
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", CHUNK),
    "body of a huge length": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", CHUNK),
    "body in chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + CHUNK + b"\r\n",
    ),
    "long chunk size": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0" * 65_536),
    "answer to another request": (
        b"HTTP/1.1 200 OK\r\nTanagerscale-Attempt-Id: other\r\n\r\n",
        CHUNK,
    ),
}


class EndlessServer:
    """Answers each request with more bytes than a client may read."""

    def __init__(self, begin: bytes, more: bytes) -> None:
        self._begin = begin
        self._more = more
        self.sent = 0
        self.closed = asyncio.Event()

    async def start(self) -> str:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        writer.write(self._begin)
        with contextlib.suppress(ConnectionError):
            # Bounds the memory of a client that keeps everything.
            while self.sent <= MAX_SENT_BYTES:
                writer.write(self._more)
                await writer.drain()
                self.sent += len(self._more)
        self.closed.set()
        writer.close()


@pytest_asyncio.fixture(params=sorted(REPLIES))
async def server(request: pytest.FixtureRequest) -> AsyncIterator[EndlessServer]:
    """A server for each kind of endless answer."""
    created = EndlessServer(*REPLIES[request.param])
    yield created
    await created.stop()


@pytest.fixture
def pool() -> ConnectionPool:
    """Pool of connections that are opened in any case."""
    return ConnectionPool(clock=Clock(), connect_timeout_ms=5000)


async def _send(address: str, pool: ConnectionPool) -> bool:
    request = UpstreamRequest(
        request=replace(make_request(), headers=((REQUEST_ID, "request"),)),
        upstream=replace(make_entry("x"), address=address),
        account=None,
        time_left_ms=None,
    )
    try:
        response = await PlatformUpstreams(pool=pool).send(upstream_request=request)
    except ExchangeError:
        return True
    try:
        await response.read_all()
    except ExchangeError:
        return True
    finally:
        response.close()
    return False


async def _report(address: str, pool: ConnectionPool) -> bool:
    upstream = replace(make_entry("x"), address=address)
    return isinstance(await PlatformUpstreams(pool=pool).report(upstream=upstream), Failure)


async def _copy(address: str, pool: ConnectionPool) -> bool:
    upstream = replace(make_entry("x"), address=address)
    copied = await PlatformUpstreams(pool=pool).copy(
        source=upstream, request=RequestId("r"), target=upstream, stop=False
    )
    return isinstance(copied, Failure)


async def _probe(address: str, pool: ConnectionPool) -> bool:
    upstream = replace(make_entry("x"), address=address)
    await PlatformUpstreams(pool=pool).probe(upstream=upstream)
    return True


async def _read_store(address: str, pool: ConnectionPool) -> bool:
    return isinstance(await PlatformStore(address=address, pool=pool).list(prefix="a/"), Failure)


async def _watch_store(address: str, pool: ConnectionPool) -> bool:
    store = PlatformStore(address=address, pool=pool)
    changes = await store.changes(prefix="a/", after=StoreRevision(0), wait_ms=900)
    return isinstance(changes, Failure)


CALLS = (_send, _report, _copy, _probe, _read_store, _watch_store)


# The whole answer was kept in memory for as long as the other side sent it.
@pytest.mark.asyncio
@pytest.mark.parametrize("call", CALLS)
async def test_call_fails_and_closes_the_connection_when_the_answer_has_no_end(
    call: Callable[[str, ConnectionPool], Awaitable[bool]],
    server: EndlessServer,
    pool: ConnectionPool,
) -> None:
    address = await server.start()
    async with asyncio.timeout(HANG_S):
        assert await call(address, pool)
        await server.closed.wait()
    assert server.sent <= MAX_SENT_BYTES
