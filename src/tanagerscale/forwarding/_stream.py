"""One stream from its engine to its caller, also when its run changes engines under way."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final
from typing import Protocol
from typing import final

from returns.result import Failure

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._engine_views import is_long
from tanagerscale.forwarding._events import EventError
from tanagerscale.forwarding._events import EventReader
from tanagerscale.forwarding._execution import ExecutionRecord
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._refusals import failed
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._types import Continuation
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamAnswer
from tanagerscale.forwarding._types import UpstreamOrder
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry

FIRST_FAILURE: Final = 300

MOST_TRIES: Final = 4
"""Engines that a stream is offered to while none has run it."""

SILENCE_MS: Final = 2000
"""After so long without an event a stream goes on from its copy. It is late by then, so this only
decides whether it is lost: callers leave after 7 s, and slow engines take 0.4 s for an event."""

MOST_RESCUES: Final = 2
"""How often one stream may break off without notice and go on from a copy. A request that crashes
what runs it takes three engines with it and no more."""

_log = get_logger(part="stream")


@dataclass(frozen=True, kw_only=True, slots=True)
class Hop:
    """Where a run goes on.

    :param entry: The engine that goes on with it.
    :param holder: The engine whose memory of the run is used.
    :param copy: Id of that memory.
    """

    entry: UpstreamEntry
    holder: UpstreamEntry
    copy: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """A copy of a run's memory at another engine, as it was at one time.

    :param entry: The engine that holds it.
    :param copy: Its id.
    :param taken: When it was taken.
    """

    entry: UpstreamEntry
    copy: str
    taken: Millis


class StreamHooks(Protocol):
    """Hears of what changes in streams."""

    def on_engine(self, run: StreamRun) -> None:
        """Take in that an engine, the first or another, has accepted a run."""

    async def rescue(self, run: StreamRun, source: UpstreamEntry) -> Hop | None:
        """Return where a run goes on that broke off, from a copy taken before."""

    def on_unused(self, snapshot: Snapshot) -> None:
        """Take in that a copy is not needed any more."""


@dataclass(kw_only=True, slots=True)
class _Leg:
    """The part of a stream that one engine makes."""

    entry: UpstreamEntry
    answer: UpstreamAnswer
    started: Millis
    first_event: Millis | None = None


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
        self._leg: _Leg | None = None
        self._hops: list[Hop] = []
        self._rescues = 0
        self._stopping: asyncio.Event | None = None
        self._last_event = 0
        self._last_event_at: Millis | None = None
        self._first_event_ms: int | None = None
        self._longest_gap_ms = 0
        self._legs = 0
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
        return None if self._leg is None else self._leg.entry

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
        return self._last_event * (1 if engine is None else engine.tokens_per_event)

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
                self._leg.answer.close()

    async def _open(self) -> Refusal | None:
        """Find the first engine; a refusal when none takes the request."""
        record = self._record
        failure: Refusal | None = None
        while record.allows_another() and record.sent < MOST_TRIES:
            if record.sent and not self._parts.budgets.try_spend(self._routed.service):
                break
            found = await self._admission.find_engine(routed=self._routed, excluded=record.tried)
            if isinstance(found, Failure):
                refusal: Refusal = found.failure()
                return refusal
            failure = await self._start(found.unwrap())
            if failure is None:
                return None
        if failure is not None and record.may_have_run:
            return failure
        return no_upstream(service=self._routed.service, rng=self._parts.rng)

    async def _start(self, entry: UpstreamEntry) -> Refusal | None:
        try:
            leg = await self._send(entry, None)
        except ExchangeError as error:
            not_sent = error.failure is ExchangeFailure.NOT_SENT
            if not_sent:
                self._record.note_not_run(entry.upstream)
                self._parts.notes.note_down(upstream=entry.upstream)
            else:
                self._record.note_run(entry.upstream)
            self._parts.meters.attempts.labels(error.failure.value).inc()
            self._log("An attempt failed.", entry, detail=error.detail, sent=not not_sent)
            return failed(cause=error.detail)
        if leg.answer.not_executed:
            self._record.note_not_run(entry.upstream)
            if leg.answer.is_someone_else:
                self._parts.notes.note_gone(upstream=entry.upstream)
            self._parts.meters.attempts.labels("not-executed").inc()
            self._log("An engine did not take the request.", entry, status=leg.answer.status)
            await _drain(leg.answer)
            return failed(cause="No engine took the request")
        self._record.note_run(entry.upstream)
        self._parts.meters.attempts.labels("answered").inc()
        self._set_leg(leg)
        return None

    def _set_leg(self, leg: _Leg) -> None:
        self._leg = leg
        self._hooks.on_engine(self)

    async def _send(self, entry: UpstreamEntry, hop: Hop | None) -> _Leg:
        """Send the request, or its continuation, to an engine."""
        self._release_snapshot(keep_at=None if hop is None else hop.entry)
        work = self._parts.work
        work.begin(
            request=self.request,
            upstream=entry.upstream,
            prompt_tokens=self.tokens if hop is None else 0,
            tokens=self.tokens,
            is_long=is_long(self._routed),
        )
        continuation = None
        if hop is not None:
            continuation = Continuation(
                holder=hop.holder.address, copy=hop.copy, after_event=self._last_event
            )
        order = UpstreamOrder(
            request=self._routed.request,
            upstream=entry,
            account=self._routed.caller.account,
            time_left_ms=self._routed.deadline - self._parts.clock.now(),
            continuation=continuation,
        )
        started = self._parts.clock.now()
        try:
            answer = await self._parts.caller.send(order=order)
        except BaseException:
            work.end(request=self.request)
            raise
        return _Leg(entry=entry, answer=answer, started=started)

    def _release_snapshot(self, *, keep_at: UpstreamEntry | None) -> None:
        """Free the copy taken before, unless the run goes on from it."""
        held = self.snapshot
        self.snapshot = None
        if held is not None and held.entry is not keep_at:
            self._hooks.on_unused(held)

    async def _carry(self) -> Refusal | None:
        """Relay events from one engine after another."""
        assert self._leg is not None
        answer = self._leg.answer
        if answer.status >= FIRST_FAILURE:
            body = await answer.read_all()
            await self._responder.answer(
                status=answer.status, reason=answer.reason, headers=answer.headers, body=body
            )
            return None
        await self._responder.begin(
            status=answer.status, reason=answer.reason, headers=answer.headers
        )
        while True:
            cause = await self._relay(self._leg)
            if cause is None:
                await self._responder.end()
                self._parts.meters.longest_gap_ms.observe(self._longest_gap_ms)
                self._log(
                    "A stream is whole.",
                    self._leg.entry,
                    events=self._last_event,
                    first_event_ms=self._first_event_ms,
                    longest_gap_ms=self._longest_gap_ms,
                    engines=self._legs,
                )
                return None
            self._log("A leg ended early.", self._leg.entry, detail=cause, at=self._last_event)
            leg = await self._go_on(self._leg)
            self._parts.meters.moves.labels("lost" if leg is None else "moved").inc()
            if leg is None:
                return failed(cause=cause)
            self._set_leg(leg)

    async def _relay(self, leg: _Leg) -> str | None:
        """Pass events on until the proper end; otherwise return why there was none."""
        reader = EventReader()
        try:
            while chunk := await self._read(leg):
                for event in reader.feed(chunk):
                    if event.number <= self._last_event:
                        continue
                    if event.number != self._last_event + 1:
                        return f"event {event.number} came after {self._last_event}"
                    await self._responder.write(event.content)
                    self._note_event(leg, event.number)
        except (ExchangeError, EventError) as error:
            return str(error)
        return None if reader.is_empty else "the answer ended within an event"

    async def _read(self, leg: _Leg) -> bytes:
        """Return the next bytes.

        :raises ExchangeError: The answer broke off, or its engine says nothing and there is a copy.
        """
        while True:
            try:
                async with asyncio.timeout(SILENCE_MS / MS_PER_SECOND):
                    return await leg.answer.read_some()
            except TimeoutError:
                if self.snapshot is not None:
                    raise ExchangeError(ExchangeFailure.LOST, "The engine went silent") from None

    def _note_event(self, leg: _Leg, number: int) -> None:
        self._last_event = number
        now = self._parts.clock.now()
        if self._last_event_at is None:
            self._first_event_ms = now - self._routed.request.arrived
            self._parts.meters.first_event_ms.observe(self._first_event_ms)
        else:
            self._longest_gap_ms = max(self._longest_gap_ms, now - self._last_event_at)
        self._last_event_at = now
        if leg.first_event is None:
            leg.first_event = now
            self._legs += 1
            self._began.set()
            self._log("An engine begins to answer.", leg.entry, event=number)
        self._parts.work.progress(request=self.request, tokens=self.tokens)

    async def _go_on(self, leg: _Leg) -> _Leg | None:
        """Continue the run on another engine, or return ``None`` when it can't be."""
        leg.answer.close()
        if self._stopping is not None:
            await self._stopping.wait()
        while (hop := await self._next_hop(leg)) is not None:
            asked = self._parts.clock.now()
            try:
                following = await self._send(hop.entry, hop)
            except ExchangeError as error:
                self._log("A continuation failed.", hop.entry, detail=error.detail)
                continue
            if following.answer.status < FIRST_FAILURE:
                self._log(
                    "A stream goes on.",
                    hop.entry,
                    holder=hop.holder.upstream,
                    at=self._last_event,
                    took_ms=self._parts.clock.now() - asked,
                )
                return following
            self._log("A continuation is refused.", hop.entry, status=following.answer.status)
            await _drain(following.answer)
        return None

    async def _next_hop(self, leg: _Leg) -> Hop | None:
        if self._hops:
            return self._hops.pop(0)
        if self.snapshot is None or self._rescues >= MOST_RESCUES:
            return None
        self._rescues += 1
        return await self._hooks.rescue(self, leg.entry)

    def _log(self, message: str, entry: UpstreamEntry, **inputs: object) -> None:
        request = self._routed.request
        _log.info(
            message,
            request=request.request,
            upstream=entry.upstream,
            after_ms=self._parts.clock.now() - request.arrived,
            **inputs,
        )


async def _drain(answer: UpstreamAnswer) -> None:
    """Read an answer that nobody needs, so that its connection may be used again."""
    try:
        await answer.read_all()
    except ExchangeError:
        answer.close()
