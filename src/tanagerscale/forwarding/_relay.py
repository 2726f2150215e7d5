"""Relays the events of a stream from engines to the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Millis
from tanagerscale.core import read_within
from tanagerscale.forwarding._crash_evidence import SOUND_AFTER_MS
from tanagerscale.forwarding._crash_evidence import record_sound_parts
from tanagerscale.forwarding._events import EventError
from tanagerscale.forwarding._events import EventReader
from tanagerscale.forwarding._events import EventSizeError
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._stream_end import BodyEnd
from tanagerscale.forwarding._stream_end import StopState
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure

IDLE_TIMEOUT_MS: Final = 2000
"""Time without an event after which a stream resumes from its copy. The stream is late by then, so
the timeout only decides whether it is lost: callers disconnect after 7 s, and slow engines take 0.4
s per event."""


@final
class EventRelay:
    """Relays complete events to the caller, each once and in order.

    :param routed: The request.
    :param responder: Sends the events to the caller.
    :param context: Dependencies shared by all requests.
    :param sender: Records failures of engines.
    :param on_event: Called after each relayed event.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        responder: Responder,
        context: ForwardingContext,
        sender: SegmentSender,
        on_event: Callable[[StreamSegment], None],
    ) -> None:
        self._routed = routed
        self._responder = responder
        self._context = context
        self._sender = sender
        self._on_event = on_event
        self._last_event_at: Millis | None = None
        self._segments_begun = 0
        self.last_event = 0
        """Number of the last event that was relayed."""
        self._first_event_ms: int | None = None
        self._longest_gap_ms = 0
        self.is_given_up = False
        """Whether this host has given up the last answer, for which it has no memory."""
        self.body_end = BodyEnd.BROKEN
        """How the last body has ended."""

    async def relay(self, segment: StreamSegment, *, has_copy: Callable[[], bool]) -> str | None:
        """Relay events until the body of the engine's answer ends.

        :param segment: The part of the stream that one engine produces.
        :param has_copy: Returns whether the run can resume elsewhere if the engine sends nothing.
        :returns: Why the body is not complete; ``None`` if it may be.
        """
        reader = EventReader(account=self._context.account, peer=segment.entry.address)
        self.is_given_up = False
        self.body_end = BodyEnd.BROKEN
        try:
            while chunk := await self._read(segment, has_copy):
                for event in reader.feed(chunk):
                    if event.number <= self.last_event:
                        continue
                    if event.number != self.last_event + 1:
                        return f"event {event.number} came after {self.last_event}"
                    read_at = self._context.clock.now()
                    await self._responder.write(event.content)
                    self._record_event(segment, event.number, read_at)
        except ExchangeError as error:
            self.is_given_up = error.failure is ExchangeFailure.TOO_LARGE
            return str(error)
        except EventSizeError as error:
            self.is_given_up = True
            return str(error)
        except EventError as error:
            return str(error)
        finally:
            is_empty = reader.is_empty
            reader.close()
        if not is_empty:
            return "the answer ended within an event"
        is_close_delimited = segment.response.is_close_delimited
        self.body_end = BodyEnd.CLOSED if is_close_delimited else BodyEnd.FRAMED
        return None

    def record_stream_end(self, segment: StreamSegment, *, stop: StopState) -> None:
        """Record that the stream has come to its end.

        :param segment: The last part of it.
        :param stop: What is known of the orders to stop the run.
        """
        self._sender.record_complete_response(segment)
        self._context.metrics.longest_gap_ms.observe(self._longest_gap_ms)
        self._sender.log(
            "A stream is whole.",
            segment.entry,
            events=self.last_event,
            first_event_ms=self._first_event_ms,
            longest_gap_ms=self._longest_gap_ms,
            engines=self._segments_begun,
            shown_by=self.body_end.value,
            stop=stop.value,
        )

    async def _read(self, segment: StreamSegment, has_copy: Callable[[], bool]) -> bytes:
        """Return the next bytes of the body.

        :raises ExchangeError: The response was truncated, or the engine is idle and there is a
            copy.
        """
        while True:
            try:
                return await read_within(segment.response.read_some, timeout_ms=IDLE_TIMEOUT_MS)
            except TimeoutError:
                if has_copy():
                    raise ExchangeError(ExchangeFailure.LOST, "The engine went silent") from None

    def _record_event(self, segment: StreamSegment, number: int, read_at: Millis) -> None:
        self.last_event = number
        now = self._context.clock.now()
        if self._last_event_at is None:
            self._first_event_ms = now - self._routed.request.arrived
            self._context.metrics.first_event_ms.observe(self._first_event_ms)
        else:
            self._longest_gap_ms = max(self._longest_gap_ms, now - self._last_event_at)
            # A caller that reads slowly delays the write, which is no fault of the engine.
            arrived_at = read_at if self._context.has_bounded_buffers else now
            self._check_gap(segment, arrived_at - self._last_event_at)
        self._last_event_at = segment.part.last_event = now
        if segment.first_event is None:
            segment.first_event = now
            segment.late.end(is_good=True)
            self._context.suspects.record_alive(
                upstream=segment.entry.upstream, sent_at=segment.sent_at
            )
            self._segments_begun += 1
            self._sender.log("An engine begins to answer.", segment.entry, event=number)
        elif not segment.is_sound and now - segment.first_event >= SOUND_AFTER_MS:
            segment.is_sound = True
            record_sound_parts(self._routed, self._context)
        self._on_event(segment)

    def _check_gap(self, segment: StreamSegment, gap_ms: int) -> None:
        allowed_ms = self._routed.route.gap_ms
        if segment.first_event is not None and gap_ms > allowed_ms > 0 and not segment.is_slow:
            segment.is_slow = True
            self._sender.record_failure(segment.entry)
