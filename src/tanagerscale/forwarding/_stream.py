"""One stream from its engine to its caller, also when its run changes engines under way."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import Protocol
from typing import final

from returns.result import Failure

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._execution import ExecutionRecord
from tanagerscale.forwarding._hops import Hop
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._legs import FIRST_FAILURE
from tanagerscale.forwarding._legs import Leg
from tanagerscale.forwarding._legs import LegSender
from tanagerscale.forwarding._legs import RunPoint
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._refusals import failed
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._refusals import quarantined
from tanagerscale.forwarding._relay import EventRelay
from tanagerscale.forwarding._suspicion import is_refused
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry

FIRST_SERVER_ERROR: Final = 500

MOST_RESCUES: Final = 2
"""How often one stream may break off without notice and go on from a copy. A request that crashes
what runs it takes three engines with it and no more."""


class StreamHooks(Protocol):
    """Hears of what changes in streams."""

    def on_engine(self, run: StreamRun) -> None:
        """Take in that an engine, the first or another, has accepted a run."""

    async def rescue(self, run: StreamRun, source: UpstreamEntry) -> Hop | None:
        """Return where a run goes on that broke off, from a copy taken before."""

    def on_unused(self, snapshot: Snapshot) -> None:
        """Take in that a copy is not needed any more."""


@final
class StreamRun:
    """One stream.

    :param routed: The request.
    :param responder: Carries the answer.
    :param parts: What every request uses.
    :param admission: Finds its first engine.
    :param hooks: Hears of what changes.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        responder: Responder,
        parts: ForwardingParts,
        admission: Admission,
        hooks: StreamHooks,
    ) -> None:
        self._routed = routed
        self._responder = responder
        self._parts = parts
        self._admission = admission
        self._hooks = hooks
        self._record = ExecutionRecord(route=routed.route)
        self._sender = LegSender(routed=routed, parts=parts)
        self._relay = EventRelay(
            routed=routed,
            responder=responder,
            parts=parts,
            sender=self._sender,
            on_event=self._on_event,
        )
        self._leg: Leg | None = None
        self._hops: list[Hop] = []
        self._rescues = 0
        self._stopping: asyncio.Event | None = None
        self._is_between = False
        self._began = asyncio.Event()
        self._ended = False
        self.copying = asyncio.Lock()
        """Held while its engine copies it, since an engine copies a run once at a time."""
        self.snapshot: Snapshot | None = None
        """A copy of its memory that was taken while it goes on."""

    @property
    def request(self) -> RequestId:
        """The caller's id of the request."""
        return self._routed.request.request

    @property
    def routed(self) -> RoutedRequest:
        """The request."""
        return self._routed

    @property
    def entry(self) -> UpstreamEntry | None:
        """The engine that runs it now, or ``None`` between two."""
        return None if self._leg is None or self._is_between else self._leg.entry

    @property
    def is_engine_hinting(self) -> bool:
        """Whether the engine of now ends its connection, as those that leave do and some others."""
        return self._leg is not None and self._leg.answer.is_leaving

    @property
    def begun(self) -> bool:
        """Whether it has begun to answer."""
        return self._began.is_set()

    @property
    def ended(self) -> bool:
        """Whether the stream is over."""
        return self._ended

    @property
    def running_ms(self) -> int:
        """How long ago the engine of now began to answer; 0 before that."""
        leg = self._leg
        if leg is None or leg.first_event is None:
            return 0
        return self._parts.clock.now() - leg.first_event

    @property
    def made(self) -> int:
        """Tokens of the answer so far."""
        engine = self._routed.engine
        return self._relay.last_event * (1 if engine is None else engine.tokens_per_event)

    @property
    def tokens(self) -> int:
        """Tokens that the run holds in memory."""
        demand = self._routed.request.demand
        return self.made + (0 if demand is None else demand.prompt_tokens)

    async def wait_begun(self) -> None:
        """Wait for the first event, or for the end."""
        await self._began.wait()

    def expect_stop(self) -> None:
        """Note that the engine of now is being asked to stop the run."""
        self._stopping = asyncio.Event()

    def stopped(self, hop: Hop | None) -> None:
        """Take in where a stopped run goes on, or that it was not stopped after all.

        What its engine had made before it stopped is still relayed first.
        """
        if hop is not None:
            self._hops.append(hop)
        if self._stopping is not None:
            self._stopping.set()
            self._stopping = None

    async def serve(self) -> Refusal | None:
        """Carry the stream to its end.

        :returns: The answer of our own, when the stream did not come to its proper end.
        """
        try:
            refusal = await self._open()
            if refusal is not None or self._leg is None:
                return refusal
            return await self._carry()
        finally:
            self._ended = True
            self._began.set()
            self._release_snapshot(keep_at=None)
            self._parts.work.end(request=self.request)
            if self._leg is not None:
                self._leg.close()

    async def _open(self) -> Refusal | None:
        """Find the first engine; a refusal when none takes the request."""
        record = self._record
        failure: Refusal | None = None
        while record.may_try_another:
            if record.arrived and not await self._may_repeat():
                break
            found = await self._admission.find_engine(routed=self._routed, excluded=record.tried)
            if isinstance(found, Failure):
                refusal: Refusal = found.failure()
                return refusal
            # Copies of the request may have crashed upstreams since it was last checked.
            if is_refused(self._routed, self._parts):
                return failure if record.may_have_run else quarantined()
            failure = await self._start(found.unwrap())
            if failure is None:
                return None
        if failure is not None and record.may_have_run:
            return failure
        return no_upstream(service=self._routed.service, rng=self._parts.rng)

    async def _may_repeat(self) -> bool:
        return await self._parts.repeats.may_repeat(service=self._routed.service)

    async def _start(self, entry: UpstreamEntry) -> Refusal | None:
        sender = self._sender
        try:
            leg = await sender.send(entry=entry, hop=None, point=self._point)
        except ExchangeError as error:
            return self._note_not_answered(entry, error)
        if leg.answer.not_executed:
            self._record.note_not_run(entry.upstream)
            sender.note_bad(entry)
            if leg.answer.is_someone_else:
                self._parts.gate.note_gone(upstream=entry.upstream)
            else:
                self._parts.suspects.note_alive(upstream=entry.upstream)
            self._parts.meters.attempts.labels("not-executed").inc()
            sender.log("An engine did not take the request.", entry, status=leg.answer.status)
            await sender.drain(leg)
            return failed(cause="No engine took the request")
        self._record.note_run(entry.upstream)
        self._parts.meters.attempts.labels("answered").inc()
        self._set_leg(leg)
        return None

    def _note_not_answered(self, entry: UpstreamEntry, error: ExchangeError) -> Refusal:
        not_sent = error.failure is ExchangeFailure.NOT_SENT
        if not_sent:
            self._record.note_not_sent(entry.upstream)
            self._parts.gate.note_down(upstream=entry.upstream)
        else:
            self._record.note_run(entry.upstream)
            self._sender.note_broken(entry)
        self._parts.meters.attempts.labels(error.failure.value).inc()
        self._sender.log("An attempt failed.", entry, detail=error.detail, sent=not not_sent)
        return failed(cause=error.detail)

    def _set_leg(self, leg: Leg) -> None:
        self._leg = leg
        self._hooks.on_engine(self)

    @property
    def _point(self) -> RunPoint:
        return RunPoint(tokens=self.tokens, made=self.made, event=self._relay.last_event)

    def _release_snapshot(self, *, keep_at: UpstreamId | None) -> None:
        """Free the copy taken before, unless the run goes on from it.

        :param keep_at: The engine where the run goes on; ``None`` when it ends.
        """
        held = self.snapshot
        self.snapshot = None
        if held is not None and held.entry.upstream != keep_at:
            self._hooks.on_unused(held)

    async def _carry(self) -> Refusal | None:
        """Relay events from one engine after another."""
        assert self._leg is not None
        answer = self._leg.answer
        if answer.status >= FIRST_FAILURE:
            await self._pass_failure_on(self._leg)
            return None
        await self._responder.begin(
            status=answer.status, reason=answer.reason, headers=answer.headers
        )
        while True:
            cause = await self._relay.relay(self._leg, has_copy=lambda: self.snapshot is not None)
            if cause is None:
                await self._responder.end()
                self._relay.note_whole(self._leg)
                return None
            leg = await self._go_on(self._leg, cause)
            self._parts.meters.moves.labels("lost" if leg is None else "moved").inc()
            if leg is None:
                return failed(cause=cause)
            self._set_leg(leg)

    async def _pass_failure_on(self, leg: Leg) -> None:
        answer = leg.answer
        self._sender.log("An engine has answered with a failure.", leg.entry, status=answer.status)
        if answer.status >= FIRST_SERVER_ERROR:
            self._sender.note_bad(leg.entry)
        body = await answer.read_all()
        await self._responder.answer(
            status=answer.status, reason=answer.reason, headers=answer.headers, body=body
        )

    def _on_event(self, leg: Leg) -> None:
        self._began.set()
        self._parts.work.progress(request=self.request, tokens=self.tokens, made=self.made)

    async def _go_on(self, leg: Leg, cause: str) -> Leg | None:
        """Continue the run on another engine, or return ``None`` when it can't be."""
        broken = leg.entry
        self._sender.log("A leg ended early.", broken, detail=cause, at=self._relay.last_event)
        if self._stopping is None and not self._hops:
            self._sender.note_broken(broken)
        leg.close()
        self._is_between = True
        try:
            if self._stopping is not None:
                await self._stopping.wait()
            while (hop := await self._next_hop(broken)) is not None:
                self._release_snapshot(keep_at=hop.entry.upstream)
                resumed = await self._sender.resume(hop=hop, point=self._point)
                if isinstance(resumed, Leg):
                    return resumed
                self.snapshot = resumed
                broken = hop.entry
            return None
        finally:
            self._is_between = False

    async def _next_hop(self, broken: UpstreamEntry) -> Hop | None:
        if self._hops:
            return self._hops.pop(0)
        if self.snapshot is None:
            return None
        if not self._parts.gate.is_leaving(broken.upstream):
            self._rescues += 1
        if self._rescues > MOST_RESCUES:
            return None
        return await self._hooks.rescue(self, broken)
