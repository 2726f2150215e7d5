"""Requests and their continuations as they go to engines."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination import AttemptHealthRecorder
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._hops import Hop
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._suspicion import note_broken
from tanagerscale.forwarding._suspicion import note_whole
from tanagerscale.forwarding._types import Continuation
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamAnswer
from tanagerscale.forwarding._types import UpstreamOrder
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry

FIRST_FAILURE: Final = 300

CONTINUE_MS: Final = 1000
"""Longest wait for an engine that is to go on with a run; one that does takes 20 to 40 ms. Callers
leave seven seconds after the last event."""

MOST_CONTINUATIONS: Final = 5
FIRST_PAUSE_MS: Final = 20
"""Tries to go on from one copy, and the pause after the first, doubled each time: 0.3 s in all. An
engine that fails six of ten requests takes one of five with 92 in 100."""

_log = get_logger(part="stream")


class Leg(Struct, kw_only=True):
    """The part of a stream that one engine makes.

    :param entry: The engine.
    :param answer: Its answer.
    :param late: Notes it for the engine's health when the first event is late.
    :param first_event: When its first event came.
    :param is_slow: Whether a pause between its events was too long.
    """

    entry: UpstreamEntry
    answer: UpstreamAnswer
    late: AttemptHealthRecorder
    first_event: Millis | None = None
    is_slow: bool = False

    def close(self) -> None:
        """Give it up, so that its engine stops."""
        self.late.cancel()
        self.answer.close()


class RunPoint(Struct, frozen=True, kw_only=True):
    """How far a run is.

    :param tokens: Memory it holds, or will when its prompt is read.
    :param made: Tokens of its answer.
    :param event: Its last event that was delivered.
    """

    tokens: int
    made: int
    event: int


@final
class LegSender:
    """Sends one request to engines.

    :param routed: The request.
    :param parts: What every request uses.
    """

    def __init__(self, *, routed: RoutedRequest, parts: ForwardingParts) -> None:
        self._routed = routed
        self._parts = parts

    async def send(self, *, entry: UpstreamEntry, hop: Hop | None, point: RunPoint) -> Leg:
        """Send the request, or its continuation.

        :param entry: The engine.
        :param hop: Where the run goes on; ``None`` when it begins.
        :param point: How far it is.
        :raises ExchangeError: No answer came.
        """
        work = self._parts.work
        request = self._routed.request
        work.begin(
            request=request.request,
            upstream=entry.upstream,
            prompt_tokens=point.tokens if hop is None else 0,
            tokens=point.tokens,
            made=point.made,
            is_long=is_long(self._routed),
            domains=self._routed.domains,
        )
        late_ms = self._routed.route.target_ms
        late = AttemptHealthRecorder(health=self._parts.health, entry=entry, after_ms=late_ms)
        try:
            answer = await self._parts.caller.send(order=self._order(entry, hop, point))
        except BaseException:
            late.cancel()
            work.end(request=request.request)
            raise
        return Leg(entry=entry, answer=answer, late=late)

    async def resume(self, *, hop: Hop, point: RunPoint) -> Leg | Snapshot | None:
        """Continue a run from a copy, at either engine that has it.

        An engine that refuses to run it keeps the copy, and one that fails part of its requests
        takes it the next time.

        :param hop: Where it goes on first.
        :param point: How far it is.
        :returns: The next leg; or what is left to go on from, once the engine asked last has been
            stopped; or ``None``.
        """
        entry = hop.entry
        pause_ms = FIRST_PAUSE_MS
        for _ in range(MOST_CONTINUATIONS):
            if self._is_evacuated(entry):
                entry = self._other_end(hop, entry)
            if self._is_evacuated(entry):
                self.log("No end of a copy may get requests.", entry, reason="evacuated")
                return None
            try:
                leg = await self._try_to_resume(entry, hop, point)
            except (ExchangeError, TimeoutError) as error:
                self.log("A continuation failed.", entry, detail=repr(error))
                self.note_bad(entry)
                if not _is_not_sent(error):
                    return self._left_at_other_end(hop, entry)
            else:
                if leg.answer.status < FIRST_FAILURE:
                    return leg
                await self.drain(leg)
                if not leg.answer.not_executed:
                    return None
            await self._parts.clock.sleep(pause_ms)
            pause_ms *= 2
            entry = self._other_end(hop, entry)
        return None

    async def drain(self, leg: Leg) -> None:
        """Read an answer that nobody needs, so that its connection may be used again."""
        leg.late.cancel()
        try:
            await leg.answer.read_all()
        except ExchangeError as error:
            self.log("The rest of an answer is lost.", leg.entry, detail=error.detail)
            leg.answer.close()

    def note_bad(self, entry: UpstreamEntry) -> None:
        """Record a failure for the health of an engine, unless it fails since it leaves."""
        if not self._parts.gate.is_leaving(entry.upstream):
            self._parts.health.note_bad(upstream=entry.upstream)

    def note_broken(self, entry: UpstreamEntry) -> None:
        """Record an answer that broke off; the request may have crashed its engine."""
        self.note_bad(entry)
        note_broken(self._routed, self._parts, entry)

    def note_whole(self, entry: UpstreamEntry) -> None:
        """Record a whole answer."""
        self._parts.health.note_good(upstream=entry.upstream)
        note_whole(self._routed, self._parts, entry)

    def log(self, message: str, entry: UpstreamEntry, **inputs: object) -> None:
        """Write a line of log about this request at an engine."""
        request = self._routed.request
        _log.info(
            message,
            request=request.request,
            upstream=entry.upstream,
            after_ms=self._parts.clock.now() - request.arrived,
            **inputs,
        )

    async def _try_to_resume(self, entry: UpstreamEntry, hop: Hop, point: RunPoint) -> Leg:
        asked = self._parts.clock.now()
        async with asyncio.timeout(CONTINUE_MS / MS_PER_SECOND):
            leg = await self.send(entry=entry, hop=hop, point=point)
        status = leg.answer.status
        self.log(
            "A stream goes on." if status < FIRST_FAILURE else "A continuation is refused.",
            entry,
            holder=hop.holder.upstream,
            at=point.event,
            status=status,
            took_ms=self._parts.clock.now() - asked,
        )
        return leg

    def _is_evacuated(self, entry: UpstreamEntry) -> bool:
        return self._parts.upstreams.is_evacuated(entry.upstream)

    def _left_at_other_end(self, hop: Hop, entry: UpstreamEntry) -> Snapshot | None:
        """Return the copy at the other engine; the one that was asked may be running it."""
        other = self._other_end(hop, entry)
        if other is entry:
            return None
        now = self._parts.clock.now()
        return Snapshot(entry=other, copy=hop.copy, taken=now, holder=hop.holder)

    def _other_end(self, hop: Hop, entry: UpstreamEntry) -> UpstreamEntry:
        """Return the other engine that has a copy, unless it leaves."""
        other = hop.holder if entry is hop.entry else hop.entry
        return entry if self._parts.gate.is_leaving(other.upstream) else other

    def _order(self, entry: UpstreamEntry, hop: Hop | None, point: RunPoint) -> UpstreamOrder:
        continuation = None
        if hop is not None:
            continuation = Continuation(
                holder=hop.holder.address, copy=hop.copy, after_event=point.event
            )
        return UpstreamOrder(
            request=self._routed.request,
            upstream=entry,
            account=self._routed.caller.account,
            time_left_ms=self._routed.deadline - self._parts.clock.now(),
            continuation=continuation,
        )


def _is_not_sent(error: Exception) -> bool:
    return isinstance(error, ExchangeError) and error.failure is ExchangeFailure.NOT_SENT
