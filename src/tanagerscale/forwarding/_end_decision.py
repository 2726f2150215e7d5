"""The one place that decides whether a stream has ended."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.forwarding._engine_reports import find_report
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._run_stops import RunStops
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._stream_end import BodyEnd
from tanagerscale.forwarding._stream_end import StopState
from tanagerscale.forwarding._stream_end import StreamEnd
from tanagerscale.upstreams import EngineReport

REPORT_QUERIES: Final = 3
REPORT_RETRY_MS: Final = 100
LAST_REPORT_RETRY_MS: Final = 500
"""Queries to an engine that has closed a stream, and the pause between two of them, if the run has
a copy and if it hasn't. An engine at its limit of connections resets new ones, though it is alive.
"""

REPORT_DELAYS_MS: Final = (0, 600, 600)
"""Pauses before an engine is asked whether it still has a run. Reports are half a second old, so
that the first one may name a run that has ended."""

_END_BY_STOP: Final = {
    StopState.STOPPED: StreamEnd.STOPPED,
    StopState.NOT_RUNNING: StreamEnd.WHOLE,
    StopState.LATE: StreamEnd.UNKNOWN,
    StopState.LOST: StreamEnd.UNKNOWN,
}
"""How a stream has ended that was closed after an order to stop its run."""


@final
class EndDecision:
    """Decides how the parts of one stream have ended, from all that the host knows.

    A length or the last chunk shows that a body is complete. A body that has neither ends with its
    connection, which an engine also closes when it stops the run, and the system when the engine
    has crashed.

    :param context: Dependencies shared by all requests.
    :param sender: Logs the decisions.
    :param stops: Orders to stop the run.
    """

    def __init__(
        self, *, context: ForwardingContext, sender: SegmentSender, stops: RunStops
    ) -> None:
        self._context = context
        self._sender = sender
        self._stops = stops
        self._last: StreamEnd | None = None

    @property
    def is_whole_by_now(self) -> bool:
        """Whether an answer that came too late for the decision shows that the run had ended."""
        return self._last is StreamEnd.UNKNOWN and self._stops.state is StopState.NOT_RUNNING

    async def decide(
        self, segment: StreamSegment, body_end: BodyEnd, *, relayed_events: int, has_copy: bool
    ) -> StreamEnd:
        """Return how a part of the stream has ended, and count it.

        :param segment: The part.
        :param body_end: How its body has ended.
        :param relayed_events: Number of the last event that was relayed to the caller.
        :param has_copy: Whether the run can resume from an earlier copy.
        """
        end = await self._decide(segment, body_end, relayed_events, has_copy)
        self._last = end
        state = self._stops.state
        self._context.metrics.stream_ends.labels(end.value, body_end.value, state.value).inc()
        return end

    async def _decide(
        self, segment: StreamSegment, body_end: BodyEnd, relayed_events: int, has_copy: bool
    ) -> StreamEnd:
        if body_end is BodyEnd.FRAMED:
            return StreamEnd.WHOLE
        if body_end is BodyEnd.BROKEN:
            is_stopped = self._stops.is_pending or self._stops.targets
            return StreamEnd.STOPPED if is_stopped else StreamEnd.BROKEN_OFF
        while True:
            await self._stops.wait_for_answer(has_copy=has_copy)
            end = _END_BY_STOP.get(self._stops.state)
            if end is not None:
                return end
            end = await self._ask_engine(segment, relayed_events, has_copy)
            if self._stops.state not in (StopState.PENDING, *_END_BY_STOP):
                return end

    async def _ask_engine(
        self, segment: StreamSegment, relayed_events: int, has_copy: bool
    ) -> StreamEnd:
        """Return how a stream has ended that was closed without an order to stop its run."""
        for delay_ms in REPORT_DELAYS_MS:
            await asyncio.sleep(delay_ms / MS_PER_SECOND)
            report = await self._find_report(segment, has_copy)
            if report is None:
                self._sender.log("An engine that closed a stream sends no report.", segment.entry)
                return StreamEnd.UNKNOWN
            runs = [run for run in report.runs if run.request == self._sender.request]
            if not runs:
                return StreamEnd.WHOLE
            if runs[0].events > relayed_events:
                break
        self._sender.log("An engine that closed a stream still reports its run.", segment.entry)
        return StreamEnd.BROKEN_OFF

    async def _find_report(self, segment: StreamSegment, has_copy: bool) -> EngineReport | None:
        pause_ms = REPORT_RETRY_MS if has_copy else LAST_REPORT_RETRY_MS
        for query in range(REPORT_QUERIES):
            if query:
                await asyncio.sleep(pause_ms / MS_PER_SECOND)
            report = await find_report(self._context.engines, segment.entry)
            if report is not None:
                return report
        return None
