"""Silence of engines that is measured while the own event loop stands still."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import socket
import time

import pytest

from tanagerscale.coordination import AttemptHealthRecorder
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.forwarding._relay import EventRelay
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.routes import RouteKind
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request

SILENCE_MS = 150
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
