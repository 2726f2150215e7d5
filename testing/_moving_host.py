"""A host whose streams move between the engines of a simulated world."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from msgspec.structs import replace

from tanagerscale.coordination import RepeatPermit
from tanagerscale.coordination import SharedRetryBudgets
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import MoveResult
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.forwarding import StreamMover
from tanagerscale.forwarding._sending import RESUME_AT_LEAVING_MS
from tanagerscale.forwarding._stream import MAX_RECOVERIES
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import RepeatClass
from tanagerscale.routes import RouteKind
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._moving_engines import KnownUpstreams
from testing._moving_engines import event
from testing._moving_world import MovingWorld

LENGTH = 40
"""Events of each run, which take four seconds."""


class Decider:
    """Grants repeats to the host, and counts them."""

    def __init__(self, *, slack: float) -> None:
        self._since = Millis(-60_000)
        self.budgets = SharedRetryBudgets(
            ratio=0.2,
            slack=slack,
            window_s=10.0,
            share=lambda: 1.0,
            since=lambda: self._since,
            has_runs=lambda service: True,
            clock=Clock(),
        )
        self.spent = 0
        self.refused = 0

    def replace(self, *, age_ms: int) -> None:
        """Let another host decide, which has done so for some time.

        :param age_ms: That time, in milliseconds.
        """
        self._since = Millis(Clock().now() - age_ms)
        self.budgets.on_hosts_changed()

    def count_request(self, *, service: ServiceId) -> None:
        """Do nothing, so that the fixed number alone grants repeats."""

    async def may_repeat(self, *, service: ServiceId) -> bool:
        """Grant no other repeats."""
        return False

    async def acquire_resume(self, *, service: ServiceId) -> RepeatPermit:
        """Grant a repeat to a run that continues."""
        permit = self.budgets.acquire(service=service, requests=0, kind=RepeatClass.RESUMED)
        self.spent += permit.is_granted
        self.refused += not permit.is_granted
        return permit

    def acquire_for_order(self) -> bool:
        """Grant the repeat of an order."""
        is_granted = self.budgets.try_acquire(service=SERVICE, kind=RepeatClass.RESUMED)
        self.spent += is_granted
        return is_granted

    def refund(self) -> None:
        """Take the repeat of an order back that was not executed."""
        self.budgets.refund(service=SERVICE)
        self.spent -= 1


@dataclass(slots=True)
class TimedResponder(FakeResponder):
    """Records how long the caller waits between events."""

    written_at: int | None = None
    longest_gap_ms: int = 0
    write_ms: int = 0
    """Time that the caller takes to read an event."""

    async def write(self, chunk: bytes) -> None:
        """Record a chunk and its time."""
        now = Clock().now()
        if self.written_at is not None:
            self.longest_gap_ms = max(self.longest_gap_ms, now - self.written_at)
        self.written_at = now
        if self.write_ms:
            await asyncio.sleep(self.write_ms / 1000)
        self.body += chunk


@dataclass(eq=False, slots=True)
class HostStream:
    """A stream of the host and how it ends."""

    stream: StreamRun
    responder: TimedResponder
    serving: asyncio.Task[Refusal | None] | None = None
    is_lost: bool = False
    is_cut: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether the caller has the complete answer."""
        return self.responder.ended and self.responder.body == whole(LENGTH)


class MovingHost:
    """A host with real streams and their mover.

    :param names: Names of the engines.
    :param slack: Repeats of the retry budget in ten seconds.
    """

    def __init__(self, *names: str, slack: float = 430.0) -> None:
        entries = [make_entry(name) for name in names]
        self.fakes = make_gateway_fakes(*entries)
        self.known = KnownUpstreams(entries=entries)
        self.world = MovingWorld(entries=entries, known=self.known, length=LENGTH)
        self.slack = slack
        self.decider = Decider(slack=slack)
        self.context = replace(
            self.fakes.context,
            upstreams=self.known,
            gate=self.known,
            upstream_client=self.world,
            engines=self.world,
            retry_permits=self.decider,
        )
        self.shutdown = ShutdownSchedule(clock=self.context.clock)
        self.mover = StreamMover(
            context=self.context,
            check_decider=_check_no_decider,
            query_engine=_query_no_engine,
            shutdown=self.shutdown,
        )
        self.streams: list[HostStream] = []
        self.orders: set[asyncio.Task[MoveResult | None]] = set()

    async def start(self, name: str) -> HostStream:
        """Serve a stream, and wait until it has begun."""
        route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, attempts=1)
        responder = TimedResponder()
        stream = StreamRun(
            routed=route_request(make_request(name=name, prompt=100), route),
            responder=responder,
            context=self.context,
            admission=Admission(context=self.context, placer=self.fakes.single_host.client),
            hooks=self.mover,
        )
        self.mover.runs.add(stream)
        host_stream = HostStream(stream=stream, responder=responder)
        self.streams.append(host_stream)
        host_stream.serving = asyncio.create_task(self._serve(host_stream))
        await stream.wait_begun()
        return host_stream

    def order(self, stream: HostStream, *, to: str, kind: MoveKind) -> None:
        """Order a copy or a move, as a decider does that knows only of the run.

        :param stream: The stream.
        :param to: The target.
        :param kind: What is ordered.
        """
        source = stream.stream.entry
        if source is None or source.upstream == to or stream.stream.ended:
            return
        if kind is not MoveKind.AHEAD and not self.decider.acquire_for_order():
            return
        order = MoveOrder(
            number=1,
            kind=kind,
            request=stream.stream.request,
            source=source.upstream,
            target=to,
        )
        self.orders.add(self.world.spawn(self._execute(order)))

    def stop(self, *, grace_s: float) -> None:
        """Begin to stop the host, whose streams are cut at the end of its grace period."""
        if not self.shutdown.has_begun:
            self.world.log(f"the host stops within {grace_s} s")
            self.shutdown.begin(grace_s=grace_s)
            self.world.spawn(self._cut_at_end())

    async def finish(self) -> None:
        """Wait for the end of all streams and orders."""
        for stream in self.streams:
            assert stream.serving is not None
            await asyncio.wait([stream.serving])
            if not stream.serving.cancelled():
                stream.serving.result()
        if self.orders:
            await asyncio.wait(self.orders)

    def check(self) -> None:
        """Check the rules that hold at any time."""
        assert not self.world.violations, self._show(self.world.violations[0])
        for stream in self.streams:
            body = stream.responder.body
            count = body.count(b"\n\n")
            assert body == whole(count), self._show(f"{stream.stream.request} is out of order")
            is_right = stream.is_whole or not stream.responder.ended
            assert is_right, self._show(f"{stream.stream.request} ends as complete after {count}")
        is_paid = self.decider.spent >= self.world.sent_again
        assert is_paid, self._show(f"{self.world.sent_again} sent, {self.decider.spent} spent")

    def check_ends(self) -> None:
        """Check how all streams have ended."""
        self.check()
        for stream in self.streams:
            request = stream.stream.request
            has_end = stream.is_whole or stream.is_lost or stream.is_cut
            assert has_end, self._show(f"{request} has no end")
        if all(stream.is_whole for stream in self.streams):
            unused = self.decider.spent - self.world.sent_again
            # A run may turn out to have ended after a request for it has reached no engine.
            left = sum(stream.stream._resumer._has_repeat for stream in self.streams)
            is_used = unused == 0 or unused <= min(self.world.not_sent, left)
            assert is_used, self._show(f"{self.world.sent_again} sent, {self.decider.spent} spent")

    def _show(self, problem: str) -> str:
        return "\n".join([problem, *self.world.trace])

    async def _serve(self, stream: HostStream) -> Refusal | None:
        try:
            refusal = await stream.stream.serve()
        except asyncio.CancelledError:
            stream.is_cut = True
            raise
        request = stream.stream.request
        self.world.log(f"{request} ends: {'whole' if refusal is None else refusal.detail}")
        if refusal is not None:
            stream.is_lost = True
            self._check_loss(stream)
        return refusal

    def _check_loss(self, stream: HostStream) -> None:
        """Check that no engine that may get the run still has its memory.

        An engine may get it until it has been known to leave for 1.2 s. The host has to know the
        handle.
        """
        if stream.stream._recoveries > MAX_RECOVERIES or self.decider.refused:
            return
        for memory in self.world.memories_of(stream.stream.request):
            for name in memory.holders:
                leaving_ms = self.known.leaving_for_ms(UpstreamId(name))
                may_get = leaving_ms is None or leaving_ms < RESUME_AT_LEAVING_MS
                if may_get and memory.is_known(at=name):
                    self.world.break_rule(f"{stream.stream.request} is lost, {name} has it")

    async def _execute(self, order: MoveOrder) -> MoveResult:
        self.world.log(f"{order.request} ordered {order.kind.value} to {order.target}")
        result = await self.mover.execute_order(order)
        if order.kind is not MoveKind.AHEAD and not result.is_done and not result.has_stopped:
            self.decider.refund()
        return result

    async def _cut_at_end(self) -> None:
        while not self.shutdown.is_over:
            await asyncio.sleep(0.05)
        for stream in self.streams:
            if stream.serving is not None:
                stream.serving.cancel()


def whole(last: int) -> bytes:
    """Return an answer up to an event."""
    return b"".join(event(number) for number in range(1, last + 1))


async def _check_no_decider() -> None:
    pass


async def _query_no_engine(upstream: UpstreamId) -> None:
    pass
