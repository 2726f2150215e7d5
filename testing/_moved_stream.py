"""A real stream with its mover on fake engines, for tests of runs that change engines."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import MoveResult
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.routes import RouteKind
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import route_request

EVENT_MS = 10
FULL_TOKENS = 33_000


def events(first: int, last: int) -> list[bytes | None]:
    """Return the events with some numbers, both included."""
    return [f"id: {number}\ndata: {number}\n\n".encode() for number in range(first, last + 1)]


def whole(last: int) -> bytes:
    """Return a whole answer."""
    return b"".join(event for event in events(1, last) if event)


class MovedStream:
    """A stream that begins at x, among engines that tests let take it or not.

    :param names: Names of the engines.
    :param slack: Repeats that the retry budget grants.
    """

    def __init__(self, *names: str, slack: float = 100.0) -> None:
        self.fakes: GatewayFakes = make_gateway_fakes(
            *(make_entry(name) for name in names), slack=slack
        )
        self.responder = FakeResponder()
        self.source = FakeResponse(chunks=events(1, 1000), pause_ms=EVENT_MS)
        self.mover = make_stream_mover(self.fakes)
        route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, attempts=1)
        self.run = StreamRun(
            routed=route_request(make_request(prompt=100), route),
            responder=self.responder,
            context=self.fakes.context,
            admission=Admission(context=self.fakes.context, placer=self.fakes.single_host.client),
            hooks=self.mover,
        )
        self.mover.runs.add(self.run)
        self.fakes.engines.on_stop = lambda _: self.source.close()
        self.fakes.engines.copied_events = 1

    async def start(self, *, at: str = "x", then: Sequence[FakeResponse] = ()) -> None:
        """Serve the stream until it has begun at an engine.

        :param at: The engine.
        :param then: What that engine answers to the next requests.
        """
        self.fakes.upstream_client.set(at, self.source, *then)
        others = [one for one in self.fakes.upstreams.entries if one.upstream != at]
        for entry in others:
            self._fill(entry.upstream)
        self.serving: asyncio.Task[Refusal | None] = asyncio.create_task(self.run.serve())
        while not self.run.begun:
            await asyncio.sleep(0.001)
        for entry in others:
            self.fakes.work.end(request=make_request(name=f"filler-{entry.upstream}").request)

    def add_copy(self, *, at: str, copy: str = "earlier") -> None:
        """Put a copy of the run on an engine."""
        entry = self.fakes.upstreams.get(UpstreamId(at))
        assert entry is not None
        self.run.snapshot = Snapshot(entry=entry, copy=copy, taken=self.fakes.context.clock.now())

    async def move(self, *, to: str) -> MoveResult:
        """Order the run to another engine."""
        assert self.run.entry is not None
        order = MoveOrder(
            number=1,
            kind=MoveKind.LEAVE,
            request=self.run.request,
            source=self.run.entry.upstream,
            target=to,
        )
        return await self.mover.execute_order(order)

    @property
    def continuations(self) -> list[tuple[str, str]]:
        """Engine and copy of each request with which the run was to continue."""
        return [
            (sent.upstream.upstream, sent.continuation.copy)
            for sent in self.fakes.upstream_client.requests
            if sent.continuation is not None
        ]

    def _fill(self, upstream: UpstreamId) -> None:
        self.fakes.work.begin(
            request=make_request(name=f"filler-{upstream}").request,
            upstream=upstream,
            prompt_tokens=0,
            tokens=FULL_TOKENS,
            is_long=True,
        )
