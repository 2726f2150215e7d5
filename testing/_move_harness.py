"""Test harness for moving streams off leaving engines, built on fakes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import RoutedRequest
from tanagerscale.forwarding._run_stops import PendingStop
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream_end import StopState
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import route_request

LONG_AGO = Millis(0)


@dataclass(eq=False, slots=True)
class FakeRun:
    """A stream on an engine, with the interface that the mover uses."""

    routed: RoutedRequest
    entry: UpstreamEntry | None
    request: RequestId
    tokens: int = 4000
    answer_tokens: int = 1000
    relayed_events: int = 250
    running_ms: int = 2000
    begun: bool = True
    ended: bool = False
    snapshot: Snapshot | None = None
    copy_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    resume_targets: list[ResumeTarget | None] = field(default_factory=list)
    begun_event: asyncio.Event = field(default_factory=asyncio.Event)
    on_move: Callable[[FakeRun], None] | None = None

    async def wait_begun(self) -> None:
        """Wait for the first event."""
        if not self.begun:
            await self.begun_event.wait()

    def begin_stop(self) -> PendingStop:
        """Return a stop."""
        return PendingStop()

    def finish_stop(
        self, stop: PendingStop, resume_target: ResumeTarget | None, *, answer: StopState | None
    ) -> bool:
        """Record the resume target and resume there."""
        self.resume_targets.append(resume_target)
        if resume_target is not None:
            self.entry = resume_target.entry
            self.snapshot = None
            if self.on_move is not None:
                self.on_move(self)
        return answer in (StopState.STOPPED, StopState.LOST)


class MoveHarness:
    """Engines, the streams on them and their mover."""

    def __init__(self, *names: str) -> None:
        self.fakes: GatewayFakes = make_gateway_fakes(*(make_entry(name) for name in names))
        self.single_host = self.fakes.single_host
        self.coordinator = self.single_host.coordinator
        self.departures = self.coordinator.departures
        self.movers = make_stream_mover(self.fakes)
        self.runs = self.movers.runs

    def entry(self, name: str) -> UpstreamEntry:
        """Return an engine."""
        entry = self.fakes.upstreams.get(UpstreamId(name))
        assert entry is not None
        return entry

    def add(
        self,
        name: str,
        *,
        at: str,
        tokens: int = 4000,
        answer_tokens: int = 1000,
        begun: bool = True,
    ) -> FakeRun:
        """Add a stream on an engine."""
        route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000)
        routed = route_request(make_request(name=name, prompt=tokens - answer_tokens), route)
        run = FakeRun(
            routed=routed,
            entry=self.entry(at),
            request=RequestId(name),
            tokens=tokens,
            answer_tokens=answer_tokens,
            begun=begun,
        )
        run.on_move = self._add_to_workload
        self._add_to_workload(run)
        self.runs.add(run)  # type: ignore[arg-type]
        return run

    def _add_to_workload(self, run: FakeRun) -> None:
        assert run.entry is not None
        work = self.fakes.work
        work.begin(
            request=run.request,
            upstream=run.entry.upstream,
            prompt_tokens=run.tokens,
            tokens=run.tokens,
            answer_tokens=run.answer_tokens,
            is_long=True,
        )
        if run.begun:
            self.begin(run)

    def begin(self, run: FakeRun) -> None:
        """Record the first event of a stream."""
        run.begun = True
        run.begun_event.set()
        self.fakes.work.progress(
            request=run.request, tokens=run.tokens, answer_tokens=run.answer_tokens
        )

    def add_copy(self, run: FakeRun, *, at: str, taken: Millis = LONG_AGO) -> None:
        """Put a copy of a stream on an engine."""
        run.snapshot = Snapshot(entry=self.entry(at), copy="c", taken=taken)
        self.fakes.work.set_copy(request=run.request, copy_at=UpstreamId(at), is_evictable=True)

    def fill(self, name: str, *, tokens: int) -> None:
        """Use memory of an engine for a generation that needs no copies."""
        self.fakes.work.begin(
            request=RequestId(f"filler of {name}"),
            upstream=UpstreamId(name),
            prompt_tokens=0,
            tokens=tokens,
            is_long=False,
        )

    def disconnect_store(self) -> None:
        """Simulate an unavailable store, which reports no more leaving engines."""
        self.fakes.upstreams.is_current = False
        self.coordinator.on_store_current_changed(False)

    def leave(self, name: str) -> None:
        """Mark an engine as leaving."""
        self.fakes.upstreams.leaving.add(name)
        self.single_host.on_leaving(UpstreamId(name))
