"""Silence of engines and hosts that is measured while the own event loop stands still."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import socket
import time

import pytest

from standins._common import LOOPBACK
from tanagerscale.coordination import AttemptHealthRecorder
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.forwarding._relay import EventRelay
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership._link import CloseReason
from tanagerscale.membership._link import LinkClosedError
from tanagerscale.membership._peers import MeshCounters
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._session import MAX_SILENT_INTERVALS
from tanagerscale.membership._session import PeerSession
from tanagerscale.membership._wire import encode_frame
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ConnectionPool
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request

SILENCE_MS = 150
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
EVENTS = (b"id: 1\ndata: 1\n\n", b"id: 2\ndata: 2\n\n")


@dataclass(slots=True)
class _SocketResponse(FakeResponse):
    """A response that is read from a socket."""

    reader: asyncio.StreamReader | None = None

    async def read_some(self) -> bytes:
        """Return the next bytes."""
        assert self.reader is not None
        return await self.reader.read(4096)


def _stall() -> None:
    time.sleep(2 * SILENCE_MS / MS_PER_SECOND)


# Guards against giving up an engine whose events have arrived while the event loop stood still.
@pytest.mark.asyncio
async def test_engine_is_not_silent_when_its_events_arrive_in_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tanagerscale.forwarding._relay.IDLE_TIMEOUT_MS", SILENCE_MS)
    entry = make_entry("x")
    context = make_gateway_fakes(entry).context
    routed = route_request(make_request(prompt=10), make_route(kind=RouteKind.STREAMING))
    relay = EventRelay(
        routed=routed,
        responder=FakeResponder(status=200),
        context=context,
        sender=SegmentSender(routed=routed, context=context),
        on_event=lambda segment: None,
    )
    engine, own = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=own)
    late = AttemptHealthRecorder(health=context.health, entry=entry, after_ms=60_000)
    segment = StreamSegment(
        entry=entry,
        response=_SocketResponse(reader=reader),
        sent_at=context.clock.now(),
        late=late,
    )
    relaying = asyncio.create_task(relay.relay(segment, has_copy=lambda: True))
    engine.send(EVENTS[0])
    while not relay.last_event:
        await asyncio.sleep(0)
    engine.send(EVENTS[1])
    engine.close()
    _stall()
    assert await relaying is None
    assert relay.last_event == len(EVENTS)
    writer.close()


class _SocketLink:
    """A link whose frames are all of one length.

    :param reader: Receives the frames.
    :param length: Length of a frame in bytes.
    """

    def __init__(self, *, reader: asyncio.StreamReader, length: int) -> None:
        self._reader = reader
        self._length = length
        self.closed: CloseReason | None = None

    async def send(self, frame: bytes) -> None:
        """Send nothing."""

    async def receive(self) -> bytes:
        """Wait for the next frame."""
        try:
            return await self._reader.readexactly(self._length)
        except asyncio.IncompleteReadError:
            raise LinkClosedError(CloseReason.BROKEN) from None

    async def close(self, *, reason: CloseReason) -> None:
        """Record why the link is closed."""
        self.closed = reason


# Guards against ending the connection of a peer whose heartbeats have arrived while the event loop
# stood still: all of its messages and orders in transit are lost with it.
@pytest.mark.asyncio
async def test_peer_is_not_silent_when_its_heartbeats_arrive_in_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    interval_ms = SILENCE_MS // MAX_SILENT_INTERVALS
    monkeypatch.setattr("tanagerscale.membership._session.HEARTBEAT_INTERVAL_MS", interval_ms)
    frame = encode_frame(Heartbeat(revision=1, next_ms=interval_ms))
    peer, own = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=own)
    link = _SocketLink(reader=reader, length=len(frame))
    counters = MeshCounters()
    session = PeerSession(
        link=link,
        peer=PeerInfo(
            host=HostId("h"),
            incarnation=1,
            failure_domain=FailureDomainId("a"),
            address="h:1",
            revision=Revision(0),
            leaving=False,
        ),
        dialer=HostId("h"),
        clock=Clock(),
        counters=counters,
        on_message=lambda host, message: None,
        on_change=lambda: None,
    )
    running = asyncio.create_task(session.run())
    await asyncio.sleep(interval_ms / MS_PER_SECOND)
    peer.send(frame)
    peer.close()
    _stall()
    assert await running is CloseReason.BROKEN
    assert counters.received_messages == 1
    writer.close()


# Guards against sending a request on a connection whose upstream has ended it, or has sent more on
# it, while the event loop stood still: the request may count as run, or get a foreign answer.
@pytest.mark.asyncio
@pytest.mark.parametrize("is_ended", [False, True], ids=["bytes", "end"])
async def test_connection_is_not_reused_when_its_end_or_bytes_arrive_in_a_stall(
    is_ended: bool,
) -> None:
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(clock=Clock(), idle_ms=60_000)
    with socket.create_server((LOOPBACK, 0)) as listening:
        address = f"{LOOPBACK}:{listening.getsockname()[1]}"
        listening.setblocking(False)
        first = await pool.acquire(address=address, can_carry=lambda connection: True)
        upstream, _ = await loop.sock_accept(listening)
        first.send(method="GET", head=b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", body=b"")
        upstream.send(COMPLETE)
        reply = await first.receive()
        await first.read_all()
        pool.release(address=address, connection=first, response=reply)
        if is_ended:
            upstream.close()
        else:
            upstream.send(COMPLETE)
        second = await pool.acquire(address=address, can_carry=lambda connection: True)
        assert second is not first
        assert (pool.opened, pool.reused) == (2, 0)
        second.close()
        upstream.close()
