"""What callers and other hosts get of a host that ends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import logbook
from msgspec.structs import replace
import pytest
import pytest_asyncio

from standins._common import LOOPBACK
from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock
from tanagerscale.forwarding import DelegatedOutcome
from tanagerscale.gateway._delegate_client import HttpDelegateClient
from testing._gateway_fakes import make_request

STREAM_EVENTS = 70
EVENT_MS = 50.0
"""The stream lasts 3.5 s, which is longer than a stopping host accepts connections and ends well
within the grace period."""
STOP_GRACE_S = 8
SHORT_GRACE_S = 2
TIME_LEFT_MS = 39_000


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform with one engine."""
    created = PlatformCluster()
    await created.start()
    await created.add_upstream("e1", MODEL_SERVICE, event_ms=EVENT_MS, events=STREAM_EVENTS)
    yield created
    await created.stop()


async def _add_host(platform: PlatformCluster, name: str, *, stop_grace_s: int) -> None:
    host = await platform.add_host(name, stop_grace_s=stop_grace_s)
    await platform.wait_until(lambda: host.ready and host.known_upstreams == 1)


async def _start_stream(
    platform: PlatformCluster, name: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    port = int(platform.callers_address(name).rpartition(":")[2])
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    lines = [
        "POST /draft/x HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {API_KEY}",
        "Tanagerscale-Attempt-Id: r",
        f"Tanagerscale-Deadline-Remaining: {TIME_LEFT_MS}",
        "Tanagerscale-Model: m",
        "Tanagerscale-Token-Usage: 100,280",
        "Content-Length: 0",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    return reader, writer


# Guards against cutting the answers that a host sends for another one, which has no path, as soon
# as its own callers are gone.
@pytest.mark.asyncio
async def test_delegated_stream_is_completed_when_its_delegate_shuts_down(
    platform: PlatformCluster,
) -> None:
    await _add_host(platform, "h1", stop_grace_s=STOP_GRACE_S)
    address = platform.hosts["h1"]._settings.host.delegates
    client = HttpDelegateClient(clock=Clock())
    request = make_request(name="r", path="/draft/x", prompt=100)
    headers = [("Tanagerscale-Attempt-Id", "r"), ("Tanagerscale-Token-Usage", "100,280")]
    response = await client.send(
        address=address,
        request=replace(request, host=HOST_NAME, key=API_KEY, headers=headers),
        time_left_ms=TIME_LEFT_MS,
    )
    assert response.head.outcome is DelegatedOutcome.STREAM
    stopping = asyncio.create_task(platform.stop_host("h1"))
    body = b""
    while chunk := await response.read_some():
        body += chunk
    assert body.count(b"\n\n") == STREAM_EVENTS
    await stopping
    client.close()


# Guards against an answer for another host that is cut without a line at the host that had it.
@pytest.mark.asyncio
async def test_delegated_stream_is_logged_when_its_delegate_ends(platform: PlatformCluster) -> None:
    await _add_host(platform, "h1", stop_grace_s=SHORT_GRACE_S)
    address = platform.hosts["h1"]._settings.host.delegates
    client = HttpDelegateClient(clock=Clock())
    request = make_request(name="r", path="/draft/x", prompt=100)
    headers = [("Tanagerscale-Attempt-Id", "r"), ("Tanagerscale-Token-Usage", "100,280")]
    response = await client.send(
        address=address,
        request=replace(request, host=HOST_NAME, key=API_KEY, headers=headers),
        time_left_ms=TIME_LEFT_MS,
    )
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        await platform.stop_host("h1")
    client.close()
    assert response.head.outcome is DelegatedOutcome.STREAM
    lines = [
        one.kwargs
        for one in logs.records
        if one.message == "A response is cut because the host ends."
    ]
    assert [(line["request"], line["upstream_part"]) for line in lines] == [("r", "at-work")]


# Guards against a host that is killed before it has closed its callers' connections: they get no
# end, and no line tells of them.
@pytest.mark.asyncio
async def test_callers_are_told_first_when_the_connections_to_other_hosts_do_not_close(
    platform: PlatformCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    await _add_host(platform, "h1", stop_grace_s=SHORT_GRACE_S)
    host = platform.hosts["h1"]
    hangs = asyncio.Event()
    stop_control = host._control.stop

    async def stop_slowly() -> None:
        await hangs.wait()
        await stop_control()

    monkeypatch.setattr(host._control, "stop", stop_slowly)
    with logbook.TestHandler(level=logbook.WARNING).applicationbound() as logs:
        reader, writer = await _start_stream(platform, "h1")
        await reader.readuntil(b"\n\n")
        stopping = asyncio.create_task(platform.stop_host("h1"))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        assert "A response is cut because the host ends." in {one.message for one in logs.records}
    hangs.set()
    await stopping


# Guards against cutting all answers at once since the other hosts can't be told of the shutdown.
@pytest.mark.asyncio
async def test_running_stream_is_whole_when_the_shutdown_can_not_be_announced(
    platform: PlatformCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    await _add_host(platform, "h1", stop_grace_s=STOP_GRACE_S)
    reader, writer = await _start_stream(platform, "h1")
    await reader.readuntil(b"\n\n")

    def fail() -> None:
        raise ValueError("a value can't be encoded")

    monkeypatch.setattr(platform.hosts["h1"]._control.mesh, "send_heartbeat", fail)
    with logbook.TestHandler(level=logbook.ERROR).applicationbound() as logs:
        stopping = asyncio.create_task(platform.stop_host("h1"))
        body = await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        monkeypatch.undo()
        await stopping
    assert body.count(b"\n\n") == STREAM_EVENTS - 1
    # The periodic heartbeats that fail meanwhile have lines of their own.
    assert [one.message for one in logs.records if one.channel != "errors"] == [
        "The other hosts are not told that this host stops."
    ]
