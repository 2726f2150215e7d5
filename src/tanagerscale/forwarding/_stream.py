"""Relays one stream to its caller, including after its run moves to another engine."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._closed_bodies import check_close
from tanagerscale.forwarding._crash_evidence import wait_if_suspected
from tanagerscale.forwarding._end_decision import EndDecision
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._refusals import quarantined
from tanagerscale.forwarding._refusals import upstream_failed
from tanagerscale.forwarding._relay import EventRelay
from tanagerscale.forwarding._request_state import UpstreamEnd
from tanagerscale.forwarding._request_state import UpstreamPart
from tanagerscale.forwarding._resuming import RunResumer
from tanagerscale.forwarding._run_phases import RunPhase
from tanagerscale.forwarding._run_stops import PendingStop
from tanagerscale.forwarding._run_stops import RunStops
from tanagerscale.forwarding._segments import MIN_FAILURE_STATUS
from tanagerscale.forwarding._segments import RunProgress
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._sending import QuarantinedError
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._starting import StreamStarter
from tanagerscale.forwarding._stream_end import StopState
from tanagerscale.forwarding._stream_end import StreamEnd
from tanagerscale.forwarding._stream_hooks import StreamHooks
from tanagerscale.forwarding._types import MIN_SERVER_ERROR_STATUS
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import UpstreamEntry

MAX_RECOVERIES: Final = 2
"""Maximum number of times that one stream may break off without notice and resume from a copy. It
limits a request that crashes its engines to three engines."""


@final
class StreamRun:
    """One streaming request and the run that serves it.

    :param routed: The request.
    :param responder: Sends the response to the caller.
    :param context: Dependencies shared by all requests.
    :param admission: Gets the first engine.
    :param hooks: Receives state changes of the stream.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        responder: Responder,
        context: ForwardingContext,
        admission: Admission,
        hooks: StreamHooks,
    ) -> None:
        self._routed = routed
        self._responder = responder
        self._context = context
        self._hooks = hooks
        self._sender = SegmentSender(routed=routed, context=context)
        self._starter = StreamStarter(
            routed=routed, context=context, admission=admission, sender=self._sender
        )
        self._resumer = RunResumer(routed=routed, context=context, sender=self._sender)
        self._relay = EventRelay(
            routed=routed,
            responder=responder,
            context=context,
            sender=self._sender,
            on_event=self._on_event,
        )
        self._segment: StreamSegment | None = None
        self._continued_segment: StreamSegment | None = None
        """The last part of which an event has been relayed."""
        self._recoveries = 0
        self._stops = RunStops(
            grant_repeat=self._resumer.grant_repeat, free=self._free_resume_target
        )
        self._end_decision = EndDecision(context=context, sender=self._sender, stops=self._stops)
        self._is_switching = False
        self._began = asyncio.Event()
        self._ended = False
        self.copy_lock = asyncio.Lock()
        """Held while the run is being copied, because an engine allows one copy of a run at a
        time."""
        self.snapshot: Snapshot | None = None
        """The latest copy of the run's KV cache, taken while the run continued."""

    @property
    def request(self) -> RequestId:
        """Id that the caller gave to the request."""
        return self._routed.request.request

    @property
    def routed(self) -> RoutedRequest:
        """The request."""
        return self._routed

    @property
    def entry(self) -> UpstreamEntry | None:
        """The engine that runs it now; ``None`` after it has stopped, until the next one has it."""
        is_changing = self._is_switching or self._stops.has_stopped
        return None if self._segment is None or is_changing else self._segment.entry

    @property
    def phase(self) -> RunPhase:
        """How far the request has come."""
        if self._is_switching:
            return RunPhase.BETWEEN_ENGINES
        if self._segment is None:
            return RunPhase.WAITING
        if self._stops.is_pending or self._stops.has_stopped:
            return RunPhase.STOPPING
        has_events = self._segment.first_event is not None
        return RunPhase.ANSWERING if has_events else RunPhase.PROCESSING

    @property
    def upstream_part(self) -> UpstreamPart:
        """The part of the engine that had the run last."""
        return self._starter.record.part if self._segment is None else self._segment.part

    @property
    def is_connection_closing(self) -> bool:
        """Whether the current engine closes its connection, as leaving engines do.

        Some engines that are not leaving close connections as well.
        """
        return self._segment is not None and self._segment.response.closes_connection

    @property
    def begun(self) -> bool:
        """Whether the first event has been relayed, or the stream has ended."""
        return self._began.is_set()

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed."""
        return self._starter.record.may_have_run

    @property
    def can_be_delegated(self) -> bool:
        """Whether another host may send the request, since this one has reached no upstream."""
        return self._starter.record.has_reached_none

    @property
    def ended(self) -> bool:
        """Whether the stream has ended."""
        return self._ended

    @property
    def running_ms(self) -> int:
        """Time since the first event of the current engine; 0 before that event."""
        segment = self._segment
        if segment is None or segment.first_event is None:
            return 0
        return self._context.clock.now() - segment.first_event

    @property
    def relayed_events(self) -> int:
        """Number of the last event that was relayed, counted from the beginning of the run."""
        return self._relay.last_event

    @property
    def answer_tokens(self) -> int:
        """Number of answer tokens relayed so far."""
        engine = self._routed.engine
        return self._relay.last_event * (1 if engine is None else engine.tokens_per_event)

    @property
    def tokens(self) -> int:
        """Number of tokens in the run's KV cache."""
        demand = self._routed.request.demand
        return self.answer_tokens + (0 if demand is None else demand.prompt_tokens)

    async def wait_begun(self) -> None:
        """Wait for the first event or for the end of the stream."""
        await self._began.wait()

    def begin_stop(self) -> PendingStop:
        """Record that the current engine is being asked to stop the run."""
        return self._stops.begin()

    def finish_stop(
        self, stop: PendingStop, resume_target: ResumeTarget | None, *, answer: StopState | None
    ) -> bool:
        """Record where a stopped run resumes, after the events that its engine has produced.

        :param stop: The stop.
        :param resume_target: Where the run resumes; ``None`` if that is not known.
        :param answer: What the engine has answered; ``None`` if nothing tells whether it has
            stopped the run, and the run takes no repeat.
        :returns: Whether the run uses the repeat of the order.
        """
        return self._stops.finish(stop, resume_target, answer=answer)

    async def serve(self) -> Refusal | None:
        """Relay the stream to its end.

        :returns: A refusal if the stream did not end properly, otherwise ``None``.
        """
        try:
            segment = await self._starter.start(progress=self._progress)
            if isinstance(segment, Refusal):
                return segment
            self._continued_segment = segment
            self._set_segment(segment)
            return await self._relay_segments(segment)
        except QuarantinedError:
            return quarantined(may_have_run=self.may_have_run)
        finally:
            self._ended = True
            self._began.set()
            self._release_snapshot(keep_at=None)
            self._stops.on_continued()
            self._context.work.end(request=self.request)
            if self._segment is not None:
                self._segment.close()

    def _set_segment(self, segment: StreamSegment) -> None:
        if self._segment is not None:
            segment.part.last_event = self._segment.part.last_event
        self._segment = segment
        segment.part.upstream, segment.part.end = segment.entry.upstream, UpstreamEnd.AT_WORK
        self._is_switching = False
        self._hooks.on_engine(self)

    @property
    def _progress(self) -> RunProgress:
        return RunProgress(
            tokens=self.tokens, answer_tokens=self.answer_tokens, event=self._relay.last_event
        )

    def _release_snapshot(self, *, keep_at: UpstreamId | None) -> None:
        """Free the current copy unless the run resumes from it.

        :param keep_at: Engine on which the run resumes; ``None`` when the run ends.
        """
        snapshot = self.snapshot
        self.snapshot = None
        if snapshot is not None and snapshot.entry.upstream != keep_at:
            self._hooks.on_snapshot_unused(snapshot)

    def _forget_snapshot(self, tried: ResumeTarget, *, remaining: Snapshot | None) -> None:
        """Drop the current copy if the run could not resume at the engine that holds it.

        :param tried: Where the run was to resume.
        :param remaining: Another copy of which it may resume instead.
        """
        if remaining is not None:
            self._release_snapshot(keep_at=remaining.entry.upstream)
            self.snapshot = remaining
        elif self.snapshot is not None and self.snapshot.entry is tried.entry:
            self._release_snapshot(keep_at=None)

    async def _relay_segments(self, segment: StreamSegment) -> Refusal | None:
        """Relay the events of each engine in turn.

        :param segment: The part of the first engine.
        """
        response = segment.response
        if response.status >= MIN_FAILURE_STATUS:
            return await self._forward_failure(segment)
        await self._responder.begin(
            status=response.status, reason=response.reason, headers=response.headers
        )
        while True:
            cause = await self._relay.relay(segment, has_copy=lambda: self.snapshot is not None)
            end = await self._end_decision.decide(
                segment,
                self._relay.body_end,
                relayed_events=self._relay.last_event,
                has_copy=self.snapshot is not None,
            )
            if end is StreamEnd.WHOLE:
                await self._end_response(segment)
                return None
            cause = cause or "The connection was closed before the end of the stream"
            resumed = await self._resume_elsewhere(segment, end, cause)
            if resumed is None and self._end_decision.is_whole_by_now:
                await self._end_response(segment)
                return None
            self._context.metrics.moves.labels("lost" if resumed is None else "moved").inc()
            if resumed is None:
                return upstream_failed(cause=cause)
            segment = resumed
            self._set_segment(segment)

    async def _end_response(self, segment: StreamSegment) -> None:
        """End the response to the caller as complete."""
        segment.part.end = UpstreamEnd.WHOLE
        await self._responder.end()
        self._relay.record_stream_end(segment, stop=self._stops.state)

    async def _forward_failure(self, segment: StreamSegment) -> Refusal | None:
        """Forward the failure of an engine; return a refusal if that is not complete."""
        response = segment.response
        self._sender.log(
            "An engine has answered with a failure.", segment.entry, status=response.status
        )
        if response.status >= MIN_SERVER_ERROR_STATUS:
            self._sender.record_failure(segment.entry)
        try:
            body = await response.read_all()
            await check_close(self._context, segment.entry, response)
        except ExchangeError as error:
            self._sender.record_lost_response(segment.entry, error)
            return upstream_failed(cause=error.detail)
        await self._responder.respond(
            status=response.status, reason=response.reason, headers=response.headers, body=body
        )
        return None

    def _on_event(self, segment: StreamSegment) -> None:
        self._began.set()
        self._stops.on_event()
        if segment is not self._continued_segment:
            self._continued_segment = segment
            self._stops.on_continued()
        self._context.work.progress(
            request=self.request, tokens=self.tokens, answer_tokens=self.answer_tokens
        )

    async def _resume_elsewhere(
        self, segment: StreamSegment, end: StreamEnd, cause: str
    ) -> StreamSegment | None:
        """Resume the run on another engine; return ``None`` if that is not possible."""
        broken = segment.entry
        self._sender.log(
            "A leg ended early.",
            broken,
            detail=cause,
            at=self._relay.last_event,
            end=end.value,
            shown_by=self._relay.body_end.value,
            stop=self._stops.state.value,
        )
        segment.part.end = UpstreamEnd.STOPPED
        if end is not StreamEnd.STOPPED and self._stops.state is not StopState.LATE:
            segment.part.end = UpstreamEnd.BROKEN_OFF
            if self._relay.is_given_up:
                self._sender.record_failure(broken)
            else:
                self._sender.record_broken_response(broken, written_ms=self.running_ms)
        segment.close()
        self._is_switching = True
        await wait_if_suspected(self._routed, self._context, broken)
        await self._stops.wait(has_copy=self.snapshot is not None)
        while (resume_target := await self._next_resume_target(broken)) is not None:
            resumed = await self._resumer.resume(
                resume_target=resume_target,
                progress=self._progress,
                has_other_copy=self._has_copy_beside(resume_target),
                has_ended=lambda: self._end_decision.is_whole_by_now,
            )
            if isinstance(resumed, StreamSegment):
                self._release_snapshot(keep_at=resumed.entry.upstream)
                self._stops.on_resumed()
                # The engine that ran it before may still be busy with a copy of it.
                self.copy_lock = asyncio.Lock()
                return resumed
            self._forget_snapshot(resume_target, remaining=resumed)
            broken = resume_target.entry
            if self._resumer.may_be_running_at is not None:
                broken = self._resumer.may_be_running_at
                self._stops.is_requested = False
        # The caller may send the request again at once.
        await self._context.crash_reports.wait_for_finding(broken.upstream)
        return None

    def _has_copy_beside(self, resume_target: ResumeTarget) -> bool:
        """Return whether another engine than those of a resume target holds a copy."""
        snapshot = self.snapshot
        return snapshot is not None and snapshot.entry not in (
            resume_target.entry,
            resume_target.holder,
        )

    async def _next_resume_target(self, broken: UpstreamEntry) -> ResumeTarget | None:
        stops = self._stops
        if self._end_decision.is_whole_by_now:
            return None
        if stops.targets:
            return stops.targets.pop(0)
        resume_target = await self._recover(broken)
        return resume_target or await stops.wait_for_late_target()

    async def _recover(self, broken: UpstreamEntry) -> ResumeTarget | None:
        """Return where the run resumes from its earlier copy; ``None`` if it doesn't."""
        if self.snapshot is None:
            return None
        if not self._context.gate.is_leaving(broken.upstream):
            self._recoveries += 1
        if self._recoveries > MAX_RECOVERIES:
            return None
        is_stop_requested, self._stops.is_requested = self._stops.is_requested, True
        return await self._hooks.recover(self, broken, is_stop_requested=is_stop_requested)

    def _free_resume_target(self, target: ResumeTarget) -> None:
        taken = self._context.clock.now()
        self._hooks.on_snapshot_unused(
            Snapshot(entry=target.entry, copy=target.copy, taken=taken, holder=target.holder)
        )
