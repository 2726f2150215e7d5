"""One connection to an upstream: whether a request was sent and its response is complete."""

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
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams._connection import open_connection

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: 1\r\n\r\nbody"


@asynccontextmanager
async def _serve(script: Script) -> AsyncIterator[str]:
    """Run a server that handles each connection with a script; yields its address."""
    server = await asyncio.start_server(script, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"{LOOPBACK}:{port}"
    finally:
        server.close()


def _script_responses(*responses: bytes, reset: bool = False, close: bool = False) -> Script:
    """Return a script that sends the given responses in turn, one per request.

    :param reset: Whether to reset the connection after the last response.
    :param close: Whether to close the connection after the last response; otherwise the script
        waits for the client to close it.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
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


async def _connect(address: str) -> HttpConnection:
    return await open_connection(address=address, timeout_ms=2000, now=Millis(0))


async def _exchange(connection: HttpConnection) -> tuple[ResponseHead, bytes]:
    connection.send(method="GET", head=HEAD, body=b"")
    reply = await connection.receive()
    return reply, await connection.read_all()


@pytest.mark.asyncio
async def test_response_with_content_length_is_complete() -> None:
    async with _serve(_script_responses(COMPLETE)) as address:
        connection = await _connect(address)
        reply, body = await _exchange(connection)
        assert (reply.status, body) == (200, b"body")
        assert connection.is_reusable
        connection.close()


@pytest.mark.asyncio
async def test_connection_is_reused_for_several_requests() -> None:
    async with _serve(_script_responses(COMPLETE, COMPLETE, COMPLETE)) as address:
        connection = await _connect(address)
        for _ in range(3):
            assert (await _exchange(connection))[1] == b"body"
        connection.close()


@pytest.mark.asyncio
@pytest.mark.parametrize("ending", [{"reset": True}, {"close": True}])
async def test_response_is_lost_when_connection_ends_before_its_head(
    ending: dict[str, bool],
) -> None:
    async with _serve(_script_responses(b"", **ending)) as address:
        connection = await _connect(address)
        with pytest.raises(ExchangeError) as caught:
            await _exchange(connection)
        assert caught.value.failure is ExchangeFailure.LOST


@pytest.mark.asyncio
@pytest.mark.parametrize("ending", [{"reset": True}, {"close": True}])
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    ],
)
async def test_response_is_incomplete_when_connection_ends_within_its_body(
    response: bytes, ending: dict[str, bool]
) -> None:
    async with _serve(_script_responses(response, **ending)) as address:
        connection = await _connect(address)
        with pytest.raises(ExchangeError) as caught:
            await _exchange(connection)
        assert caught.value.failure is ExchangeFailure.LOST


@pytest.mark.asyncio
async def test_close_delimited_body_is_complete_when_connection_closes_cleanly() -> None:
    response = b"HTTP/1.1 200 OK\r\n\r\nbody"
    async with _serve(_script_responses(response, close=True)) as address:
        connection = await _connect(address)
        reply, body = await _exchange(connection)
        assert body == b"body"
        assert reply.is_close_delimited
        assert not connection.is_reusable


@pytest.mark.asyncio
async def test_close_delimited_body_is_incomplete_when_connection_is_reset() -> None:
    async with _serve(_script_responses(b"HTTP/1.1 200 OK\r\n\r\nbody", reset=True)) as address:
        connection = await _connect(address)
        with pytest.raises(ExchangeError):
            await _exchange(connection)


@pytest.mark.asyncio
async def test_close_delimited_body_is_incomplete_when_closed_locally() -> None:
    async with _serve(_script_responses(b"HTTP/1.1 200 OK\r\n\r\nbody")) as address:
        connection = await _connect(address)
        connection.send(method="GET", head=HEAD, body=b"")
        await connection.receive()
        assert await connection.read_some() == b"body"
        connection.close()
        with pytest.raises(ExchangeError):
            await connection.read_some()


@pytest.mark.asyncio
async def test_request_is_lost_when_received_data_is_not_http() -> None:
    async with _serve(_script_responses(b"this is no answer\r\n\r\n")) as address:
        connection = await _connect(address)
        with pytest.raises(ExchangeError) as caught:
            await _exchange(connection)
        assert caught.value.failure is ExchangeFailure.LOST


@pytest.mark.asyncio
async def test_connection_is_not_reusable_when_unsolicited_data_arrived() -> None:
    async with _serve(_script_responses(COMPLETE + COMPLETE)) as address:
        connection = await _connect(address)
        await _exchange(connection)
        assert not connection.is_reusable


@pytest.mark.asyncio
async def test_late_response_to_another_request_can_be_skipped() -> None:
    late_response = COMPLETE.replace(b"X-Id: 1", b"X-Id: 0")

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(late_response + COMPLETE)
        await reader.read()
        writer.close()

    async with _serve(script) as address:
        connection = await _connect(address)
        connection.send(method="GET", head=HEAD, body=b"")
        first = await connection.receive()
        assert first.headers["X-Id"] == "0"
        await connection.read_all()
        second = await connection.receive()
        assert second.headers["X-Id"] == "1"
        assert await connection.read_all() == b"body"
        connection.close()


@pytest.mark.asyncio
async def test_interim_response_is_skipped() -> None:
    async with _serve(_script_responses(b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE)) as address:
        connection = await _connect(address)
        assert (await _exchange(connection))[0].status == 200
        connection.close()


@pytest.mark.asyncio
async def test_request_is_not_sent_when_connection_is_refused() -> None:
    async with _serve(_script_responses()) as address:
        pass
    with pytest.raises(ExchangeError) as caught:
        await _connect(address)
    assert caught.value.failure is ExchangeFailure.NOT_SENT


@pytest.mark.asyncio
async def test_request_is_not_sent_when_connection_has_already_ended() -> None:
    async with _serve(_script_responses(COMPLETE, close=True)) as address:
        connection = await _connect(address)
        await _exchange(connection)
        while connection.is_open:
            await asyncio.sleep(0.005)
        with pytest.raises(ExchangeError) as caught:
            connection.send(method="GET", head=HEAD, body=b"")
        assert caught.value.failure is ExchangeFailure.NOT_SENT


def _make_pool(*, idle_ms: int = 60_000) -> ConnectionPool:
    return ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=idle_ms)


async def _exchange_through(pool: ConnectionPool, address: str) -> HttpConnection:
    connection = await pool.acquire(address=address, can_carry=lambda _: True)
    reply, _ = await _exchange(connection)
    pool.release(address=address, connection=connection, response=reply)
    return connection


@pytest.mark.asyncio
async def test_pool_reuses_connection() -> None:
    async with _serve(_script_responses(COMPLETE, COMPLETE)) as address:
        pool = _make_pool()
        first = await _exchange_through(pool, address)
        assert await _exchange_through(pool, address) is first
        assert (pool.opened, pool.reused) == (1, 1)
        pool.close()


@pytest.mark.asyncio
async def test_pool_opens_new_connection_when_idle_one_has_ended() -> None:
    async with _serve(_script_responses(COMPLETE, close=True)) as address:
        pool = _make_pool()
        first = await _exchange_through(pool, address)
        while first.is_open:
            await asyncio.sleep(0.005)
        assert await _exchange_through(pool, address) is not first
        pool.close()


@pytest.mark.asyncio
async def test_pool_opens_new_connection_when_unsolicited_response_arrived() -> None:
    async with _serve(_script_responses(COMPLETE + COMPLETE)) as address:
        pool = _make_pool()
        await _exchange_through(pool, address)
        await _exchange_through(pool, address)
        assert pool.reused == 0
        pool.close()


@pytest.mark.asyncio
@pytest.mark.parametrize("field", [b"Keep-Alive: timeout=0", b"Connection: close"])
async def test_pool_does_not_reuse_connection_when_upstream_closes_it(field: bytes) -> None:
    response = COMPLETE.replace(b"X-Id: 1", field)
    async with _serve(_script_responses(response, response)) as address:
        pool = _make_pool()
        await _exchange_through(pool, address)
        await _exchange_through(pool, address)
        assert pool.reused == 0
        pool.close()


@pytest.mark.asyncio
async def test_pool_does_not_reuse_connection_after_idle_timeout() -> None:
    async with _serve(_script_responses(COMPLETE, COMPLETE)) as address:
        pool = _make_pool(idle_ms=0)
        await _exchange_through(pool, address)
        pool.sweep()
        await _exchange_through(pool, address)
        assert pool.reused == 0
        pool.close()
