"""Requests that reach a host while it shuts down gracefully, on connections that callers keep."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from standins._common import LOOPBACK
from standins.platform_engine import UpstreamBehavior
from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration
from tanagerscale.core import MS_PER_SECOND

STOP_GRACE_S = 8
STREAM_EVENTS = 70
EVENT_MS = 50.0
"""The stream lasts 3.5 s, which is longer than a stopping host accepts connections and ends well
within the grace period."""
TIME_LEFT_MS = 39_000
LAST_CHUNK = b"0\r\n\r\n"


class KeptConnection:
    """A connection that a caller keeps open for many requests.

    :param reader: Receives the responses.
    :param writer: Sends the requests.
    """

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, *, request: str, path: str, tokens: str = "") -> None:
        """Send a request.

        :param request: Id of the request.
        :param path: Its path, which selects the route.
        :param tokens: Prompt tokens and maximum answer tokens; empty for a plain request.
        """
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Authorization: Bearer {API_KEY}",
            f"Tanagerscale-Attempt-Id: {request}",
            f"Tanagerscale-Deadline-Remaining: {TIME_LEFT_MS}",
            "Content-Length: 0",
        ]
        if tokens:
            lines += ["Tanagerscale-Model: m", f"Tanagerscale-Token-Usage: {tokens}"]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def receive_head(self) -> str:
        """Return the head of the next response; empty if the connection ends without one."""
        try:
            return (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""

    async def receive_chunks(self) -> None:
        """Receive the rest of a chunked response."""
        await self._reader.readuntil(LAST_CHUNK)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def _configuration() -> dict[str, Any]:
    """Return the default configuration with routes that time out after the grace period."""
    value = configuration(version=2)
    routes = [{**route, "timeoutMs": TIME_LEFT_MS} for route in value["routes"]]
    return {**value, "routes": routes}


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform with one host, one engine and one plain upstream."""
    created = PlatformCluster()
    await created.start()
    created.configure(_configuration())
    await created.add_upstream("e1", MODEL_SERVICE, event_ms=EVENT_MS, events=STREAM_EVENTS)
    await created.add_upstream("p1", PLAIN_SERVICE)
    await created.add_host("h1", stop_grace_s=STOP_GRACE_S)
    host = created.hosts["h1"]
    await created.wait_until(lambda: host.ready and host.known_upstreams == 2)
    yield created
    await created.stop()


async def _connect(platform: PlatformCluster, host: str) -> KeptConnection:
    port = int(platform.callers_address(host).rpartition(":")[2])
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    return KeptConnection(reader=reader, writer=writer)


@pytest_asyncio.fixture
async def connection(platform: PlatformCluster) -> AsyncIterator[KeptConnection]:
    """Open a connection of a caller to the host."""
    opened = await _connect(platform, "h1")
    yield opened
    opened.close()


async def _wait_until_not_listening(platform: PlatformCluster) -> None:
    port = int(platform.callers_address("h1").rpartition(":")[2])
    while True:
        try:
            _, writer = await asyncio.open_connection(LOOPBACK, port)
        except ConnectionRefusedError:
            return
        writer.close()
        await asyncio.sleep(100 / MS_PER_SECOND)


# Guards against requests that a stopping host takes and gives up: the response before them began
# ahead of the shutdown, so it promised that its connection stays open.
@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("path", "tokens"), [("/book/x", ""), ("/draft/x", "100,12")], ids=["plain", "streamed"]
)
async def test_request_on_a_kept_connection_is_refused_when_it_could_outlast_a_shutdown(
    platform: PlatformCluster, connection: KeptConnection, path: str, tokens: str
) -> None:
    connection.send(request="before", path="/draft/x", tokens="100,12")
    assert "connection: close" not in await connection.receive_head()
    stopping = asyncio.create_task(platform.stop_host("h1"))
    await _wait_until_not_listening(platform)
    await connection.receive_chunks()
    for upstream in platform.upstreams.values():
        upstream.behavior = UpstreamBehavior.HANGS
    connection.send(request="late", path=path, tokens=tokens)
    head = await connection.receive_head()
    assert " 503 " in head
    assert "connection: close" in head
    assert "late" not in {received.request for received in platform.ledger.received_requests}
    await stopping


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("path", "tokens"), [("/book/x", ""), ("/draft/x", "100,12")], ids=["plain", "streamed"]
)
async def test_request_at_a_hanging_upstream_gets_its_final_response_on_the_wire(
    platform: PlatformCluster, path: str, tokens: str
) -> None:
    host = await platform.add_host("h2", stop_grace_s=2)
    await platform.wait_until(lambda: host.ready and host.known_upstreams == 2)
    for upstream in platform.upstreams.values():
        upstream.behavior = UpstreamBehavior.HANGS
    connection = await _connect(platform, "h2")
    connection.send(request="hangs", path=path, tokens=tokens)
    await platform.wait_until(lambda: platform.ledger.received_requests)
    await platform.stop_host("h2")
    head = await connection.receive_head()
    assert " 502 " in head
    assert "connection: close" in head
    connection.close()
