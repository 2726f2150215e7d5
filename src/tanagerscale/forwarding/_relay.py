"""Events of a stream on their way from engines to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.forwarding._events import EventError
from tanagerscale.forwarding._events import EventReader
from tanagerscale.forwarding._legs import Leg
from tanagerscale.forwarding._legs import LegSender
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure

SILENCE_MS: Final = 2000
"""After so long without an event a stream goes on from its copy. It is late by then, so this only
decides whether it is lost: callers leave after 7 s, and slow engines take 0.4 s for an event."""


@final
class EventRelay:
    """Passes whole events on, each once and in order.

    :param routed: The request.
    :param responder: Carries them.
    :param parts: What every request uses.
    :param sender: Notes failures of engines.
    :param on_event: Called after each event that was passed on.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        responder: Responder,
        parts: ForwardingParts,
        sender: LegSender,
        on_event: Callable[[Leg], None],
    ) -> None:
        self._routed = routed
        self._responder = responder
        self._parts = parts
        self._sender = sender
        self._on_event = on_event
        self._last_event_at: Millis | None = None
        self._legs = 0
        self.last_event = 0
        """Number of the last event that was passed on."""
        self._first_event_ms: int | None = None
        self._longest_gap_ms = 0

    async def relay(self, leg: Leg, *, has_copy: Callable[[], bool]) -> str | None:
        """Pass events on until the proper end.

        :param leg: What an engine makes.
        :param has_copy: Returns whether the run may go on elsewhere when the engine is silent.
        :returns: Why there was no proper end, or ``None``.
        """
        reader = EventReader()
        try:
            while chunk := await self._read(leg, has_copy):
                for event in reader.feed(chunk):
                    if event.number <= self.last_event:
                        continue
                    if event.number != self.last_event + 1:
                        return f"event {event.number} came after {self.last_event}"
                    await self._responder.write(event.content)
                    self._note_event(leg, event.number)
        except (ExchangeError, EventError) as error:
            return str(error)
        return None if reader.is_empty else "the answer ended within an event"

    def note_whole(self, leg: Leg) -> None:
        """Record the stream's proper end."""
        self._sender.note_whole(leg.entry)
        self._parts.meters.longest_gap_ms.observe(self._longest_gap_ms)
        self._sender.log(
            "A stream is whole.",
            leg.entry,
            events=self.last_event,
            first_event_ms=self._first_event_ms,
            longest_gap_ms=self._longest_gap_ms,
            engines=self._legs,
        )

    async def _read(self, leg: Leg, has_copy: Callable[[], bool]) -> bytes:
        """Return the next bytes.

        :raises ExchangeError: The answer broke off, or its engine says nothing and there is a copy.
        """
        while True:
            try:
                async with asyncio.timeout(SILENCE_MS / MS_PER_SECOND):
                    return await leg.answer.read_some()
            except TimeoutError:
                if has_copy():
                    raise ExchangeError(ExchangeFailure.LOST, "The engine went silent") from None

    def _note_event(self, leg: Leg, number: int) -> None:
        self.last_event = number
        now = self._parts.clock.now()
        if self._last_event_at is None:
            self._first_event_ms = now - self._routed.request.arrived
            self._parts.meters.first_event_ms.observe(self._first_event_ms)
        else:
            self._note_gap(leg, now - self._last_event_at)
        self._last_event_at = now
        if leg.first_event is None:
            leg.first_event = now
            leg.late.end(is_good=True)
            self._parts.suspects.note_alive(upstream=leg.entry.upstream)
            self._legs += 1
            self._sender.log("An engine begins to answer.", leg.entry, event=number)
        self._on_event(leg)

    def _note_gap(self, leg: Leg, gap_ms: int) -> None:
        self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        allowed_ms = self._routed.route.gap_ms
        if leg.first_event is not None and gap_ms > allowed_ms > 0 and not leg.is_slow:
            leg.is_slow = True
            self._sender.note_bad(leg.entry)
