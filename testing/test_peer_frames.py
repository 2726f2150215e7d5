"""What a host keeps of the frames of a faulty peer."""

from __future__ import annotations

import asyncio
import gc

import pytest

from tanagerscale.membership._link import Link
from tanagerscale.membership._link import LinkClosedError
from tanagerscale.membership._websocket import WebSocketTransport
from tanagerscale.membership._wire import MAX_FRAME_BYTES
from tanagerscale.policy import make_byte_account

MEMORY_MB = 150
MAX_HELD_BYTES = 46_000_000
"""Half of what the host may hold for others."""
LARGE_BYTES = 1 << 20
FRAME_BYTES = MAX_FRAME_BYTES - 1024
FRAMES = 20
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
FRAME = b"\x82\xff" + FRAME_BYTES.to_bytes(8, "big") + bytes(4) + bytes(FRAME_BYTES)


async def _send(address: str, data: bytes, *, times: int) -> asyncio.StreamWriter:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(UPGRADE)
    await reader.readuntil(b"\r\n\r\n")
    try:
        for _ in range(times):
            writer.write(data)
            async with asyncio.timeout(1):
                await writer.drain()
    except (OSError, TimeoutError):
        pass
    return writer


def _count_large_bytes() -> int:
    """Return the size of all large buffers in objects that the collector tracks."""
    found = {
        id(one): len(one)
        for container in gc.get_objects()
        for one in gc.get_referents(container)
        if type(one) in (bytes, bytearray) and len(one) >= LARGE_BYTES and one is not FRAME
    }
    return sum(found.values())


# Guards against peers that together send more than the host has memory for.
@pytest.mark.asyncio
async def test_connections_end_when_incomplete_frames_exceed_the_memory() -> None:
    async def accept(link: Link) -> None:
        try:
            await link.receive()
        except LinkClosedError:
            pass

    account = make_byte_account(MEMORY_MB)
    transport = WebSocketTransport(account=account)
    address = await transport.listen(address="127.0.0.1:0", accept=accept)
    writers = [await _send(address, FRAME[:-1], times=1) for _ in range(FRAMES)]
    await asyncio.sleep(0.1)
    kept = _count_large_bytes()
    for writer in writers:
        writer.transport.abort()
    await asyncio.sleep(0.1)
    await transport.stop()
    assert 0 < kept < MAX_HELD_BYTES
    assert account.held == 0
