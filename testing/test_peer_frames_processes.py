"""Memory of a host's process while a faulty peer sends large frames."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import psutil
import pytest
import pytest_asyncio

from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_world import PlatformCluster
from tanagerscale.membership._wire import MAX_FRAME_BYTES

MEMORY_MB = 150.0
MAX_RESIDENT_BYTES = 120_000_000
"""Target: four fifths of the limit."""
MEASURE_INTERVAL_S = 0.02
HANG_S = 30.0
LINGER_S = 1.0
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
FRAME_BYTES = MAX_FRAME_BYTES - 1024
FRAME = b"\x82\xff" + FRAME_BYTES.to_bytes(8, "big") + bytes(4) + b"x" * FRAME_BYTES


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform without hosts and upstreams."""
    created = PlatformCluster()
    await created.start()
    yield created
    await created.stop()


@pytest_asyncio.fixture
async def host(platform: PlatformCluster, tmp_path: Path) -> AsyncIterator[PlatformHostProcess]:
    """Start a host with the memory limit of a small machine."""
    settings = await platform.make_settings("h1", seeds=(), stop_grace_s=4)
    section = msgspec.structs.replace(settings.host, memory_mb=MEMORY_MB)
    process = PlatformHostProcess(
        name="h1",
        settings=msgspec.structs.replace(settings, host=section),
        directory=tmp_path,
        fault_log=FaultLog(),
    )
    await process.start()
    await process.wait_until_ready()
    yield process
    await process.end()


async def _send(address: str, data: bytes, *, times: int) -> None:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(UPGRADE)
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(times):
            writer.write(data)
            await writer.drain()
        await asyncio.sleep(LINGER_S)
    except OSError:
        pass
    finally:
        writer.close()


async def _measure(pid: int, peaks: list[int]) -> None:
    process = psutil.Process(pid)
    while True:
        peaks.append(process.memory_info().rss)
        await asyncio.sleep(MEASURE_INTERVAL_S)


# Guards against a faulty peer whose frames take a host above its memory limit.
@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("connections", "data", "times"),
    [(40, FRAME[:-1], 1), (1, FRAME, 100), (8, FRAME, 100)],
    ids=["incomplete", "unread", "unread-of-eight"],
)
async def test_memory_stays_below_its_limit_when_a_peer_sends_large_frames(
    platform: PlatformCluster, host: PlatformHostProcess, connections: int, data: bytes, times: int
) -> None:
    peaks: list[int] = []
    measuring = asyncio.create_task(_measure(host.pid, peaks))
    address = platform.peers_address("h1")
    try:
        async with asyncio.timeout(HANG_S):
            await asyncio.gather(*(_send(address, data, times=times) for _ in range(connections)))
    finally:
        measuring.cancel()
    assert max(peaks) < MAX_RESIDENT_BYTES
    assert host.instances[-1].ended is None
