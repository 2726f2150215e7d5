"""What one connection to an upstream tells of a request: whether it left, and whether all came."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
import socket
import struct

import pytest

from standins._common import LOOPBACK
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import HttpConnection
from tanagerscale.upstreams import Reply
from tanagerscale.upstreams._connection import open_connection

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: 1\r\n\r\nbody"


@asynccontextmanager
async def _serving(script: Script) -> AsyncIterator[str]:
    """Serve one script for each connection."""
    server = await asyncio.start_server(script, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"{LOOPBACK}:{port}"
    finally:
        server.close()


def _answers(*answers: bytes, reset: bool = False, close: bool = False) -> Script:
    """Return a script that answers each request with the next of some bytes."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        if reset:
            connected = writer.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif close:
            writer.close()
        else:
            await reader.read()
            writer.close()

    return script


async def _open(address: str) -> HttpConnection:
    return await open_connection(address=address, timeout_ms=2000, now=Millis(0))


async def _exchange(connection: HttpConnection) -> tuple[Reply, bytes]:
    connection.send(method="GET", head=HEAD, body=b"")
    reply = await connection.receive()
    return reply, await connection.read_all()


@pytest.mark.asyncio
async def test_answer_is_whole_when_it_has_its_length() -> None:
    async with _serving(_answers(WHOLE)) as address:
        connection = await _open(address)
        reply, body = await _exchange(connection)
        assert (reply.status, body) == (200, b"body")
        assert connection.is_reusable
        connection.close()


@pytest.mark.asyncio
async def test_connection_carries_several_requests() -> None:
    async with _serving(_answers(WHOLE, WHOLE, WHOLE)) as address:
        connection = await _open(address)
        for _ in range(3):
            assert (await _exchange(connection))[1] == b"body"
        connection.close()


@pytest.mark.asyncio
@pytest.mark.parametrize("ends", [{"reset": True}, {"close": True}])
async def test_answer_is_lost_when_the_connection_ends_before_its_head(
    ends: dict[str, bool],
) -> None:
    async with _serving(_answers(b"", **ends)) as address:
        connection = await _open(address)
        with pytest.raises(ExchangeError) as caught:
            await _exchange(connection)
        assert caught.value.failure is ExchangeFailure.LOST


@pytest.mark.asyncio
@pytest.mark.parametrize("ends", [{"reset": True}, {"close": True}])
@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    ],
)
async def test_answer_is_not_whole_when_its_body_breaks_off(
    answer: bytes, ends: dict[str, bool]
) -> None:
    async with _serving(_answers(answer, **ends)) as address:
        connection = await _open(address)
        with pytest.raises(ExchangeError) as caught:
            await _exchange(connection)
        assert caught.value.failure is ExchangeFailure.LOST


@pytest.mark.asyncio
async def test_body_without_a_length_is_whole_when_its_connection_ends_cleanly() -> None:
    answer = b"HTTP/1.1 200 OK\r\n\r\nbody"
    async with _serving(_answers(answer, close=True)) as address:
        connection = await _open(address)
        reply, body = await _exchange(connection)
        assert body == b"body"
        assert reply.ends_with_connection
        assert not connection.is_reusable


@pytest.mark.asyncio
async def test_body_without_a_length_is_not_whole_when_its_connection_is_reset() -> None:
    async with _serving(_answers(b"HTTP/1.1 200 OK\r\n\r\nbody", reset=True)) as address:
        connection = await _open(address)
        with pytest.raises(ExchangeError):
            await _exchange(connection)


@pytest.mark.asyncio
async def test_body_without_a_length_is_not_whole_when_it_is_given_up_here() -> None:
    async with _serving(_answers(b"HTTP/1.1 200 OK\r\n\r\nbody")) as address:
        connection = await _open(address)
        connection.send(method="GET", head=HEAD, body=b"")
        await connection.receive()
        assert await connection.read_some() == b"body"
        connection.close()
        with pytest.raises(ExchangeError):
            await connection.read_some()


@pytest.mark.asyncio
async def test_request_is_lost_when_what_comes_is_no_answer() -> None:
    async with _serving(_answers(b"this is no answer\r\n\r\n")) as address:
        connection = await _open(address)
        with pytest.raises(ExchangeError) as caught:
            await _exchange(connection)
        assert caught.value.failure is ExchangeFailure.LOST


@pytest.mark.asyncio
async def test_connection_is_not_used_again_when_more_came_than_the_answer() -> None:
    async with _serving(_answers(WHOLE + WHOLE)) as address:
        connection = await _open(address)
        await _exchange(connection)
        assert not connection.is_reusable


@pytest.mark.asyncio
async def test_late_answer_comes_before_the_own_one_and_can_be_skipped() -> None:
    other = WHOLE.replace(b"X-Id: 1", b"X-Id: 0")

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(other + WHOLE)
        await reader.read()
        writer.close()

    async with _serving(script) as address:
        connection = await _open(address)
        connection.send(method="GET", head=HEAD, body=b"")
        first = await connection.receive()
        assert first.headers["X-Id"] == "0"
        await connection.read_all()
        second = await connection.receive()
        assert second.headers["X-Id"] == "1"
        assert await connection.read_all() == b"body"
        connection.close()


@pytest.mark.asyncio
async def test_interim_answer_is_skipped() -> None:
    async with _serving(_answers(b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE)) as address:
        connection = await _open(address)
        assert (await _exchange(connection))[0].status == 200
        connection.close()


@pytest.mark.asyncio
async def test_request_is_not_sent_when_nobody_listens() -> None:
    async with _serving(_answers()) as address:
        pass
    with pytest.raises(ExchangeError) as caught:
        await _open(address)
    assert caught.value.failure is ExchangeFailure.NOT_SENT


@pytest.mark.asyncio
async def test_request_is_not_sent_when_the_connection_ended_before() -> None:
    async with _serving(_answers(WHOLE, close=True)) as address:
        connection = await _open(address)
        await _exchange(connection)
        while connection.is_open:
            await asyncio.sleep(0.005)
        with pytest.raises(ExchangeError) as caught:
            connection.send(method="GET", head=HEAD, body=b"")
        assert caught.value.failure is ExchangeFailure.NOT_SENT


def _pool(*, idle_ms: int = 60_000) -> ConnectionPool:
    return ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=idle_ms)


async def _through(pool: ConnectionPool, address: str) -> HttpConnection:
    connection = await pool.acquire(address=address)
    reply, _ = await _exchange(connection)
    pool.release(address=address, connection=connection, reply=reply)
    return connection


@pytest.mark.asyncio
async def test_pool_uses_a_connection_again() -> None:
    async with _serving(_answers(WHOLE, WHOLE)) as address:
        pool = _pool()
        first = await _through(pool, address)
        assert await _through(pool, address) is first
        assert (pool.opened, pool.reused) == (1, 1)
        pool.close()


@pytest.mark.asyncio
async def test_pool_opens_another_connection_when_the_idle_one_has_ended() -> None:
    async with _serving(_answers(WHOLE, close=True)) as address:
        pool = _pool()
        first = await _through(pool, address)
        while first.is_open:
            await asyncio.sleep(0.005)
        assert await _through(pool, address) is not first
        pool.close()


@pytest.mark.asyncio
async def test_pool_opens_another_connection_when_an_answer_came_unasked() -> None:
    async with _serving(_answers(WHOLE + WHOLE)) as address:
        pool = _pool()
        await _through(pool, address)
        await _through(pool, address)
        assert pool.reused == 0
        pool.close()


@pytest.mark.asyncio
@pytest.mark.parametrize("field", [b"Keep-Alive: timeout=0", b"Connection: close"])
async def test_pool_keeps_no_connection_when_the_upstream_ends_it(field: bytes) -> None:
    answer = WHOLE.replace(b"X-Id: 1", field)
    async with _serving(_answers(answer, answer)) as address:
        pool = _pool()
        await _through(pool, address)
        await _through(pool, address)
        assert pool.reused == 0
        pool.close()


@pytest.mark.asyncio
async def test_pool_counts_on_no_connection_beyond_its_idle_time() -> None:
    async with _serving(_answers(WHOLE, WHOLE)) as address:
        pool = _pool(idle_ms=0)
        await _through(pool, address)
        pool.sweep()
        await _through(pool, address)
        assert pool.reused == 0
        pool.close()
