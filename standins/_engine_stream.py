"""Event stream of one generation, with fault injection."""

from __future__ import annotations

from typing import final

from aiohttp import web
import msgspec
from msgspec.structs import replace

from standins._batch import Sequence
from standins._common import abort_connection
from standins._engine_types import StreamFault
from standins._engine_types import StreamFaultMode
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import TokenEvent

OVERLAP_TOKENS = 2
OTHER_ATTEMPT_TEXT = " token-of-another-answer"


@final
class EventStream:
    """Sends the events of a generation to one caller.

    :param sequence: The generation.
    :param fault: Fault to inject.
    :param is_resumed: Whether the caller has posted this attempt before or resumes it.
    :param clock: Source of the current time.
    """

    def __init__(
        self, *, sequence: Sequence, fault: StreamFault, is_resumed: bool, clock: Clock
    ) -> None:
        self._sequence = sequence
        self._fault = fault
        self._is_resumed = is_resumed
        self._clock = clock

    async def send(
        self, *, request: web.Request, response: web.StreamResponse, offset: int
    ) -> None:
        """Send all events from an offset on, and return after the last one.

        :param request: The caller's request.
        :param response: The response, already prepared.
        :param offset: Offset of the first token to send.
        """
        if self._is_resumed and self._fault.mode is StreamFaultMode.OVERLAP:
            offset = max(0, offset - OVERLAP_TOKENS)
        while True:
            changed = self._sequence.changed
            while offset < len(self._sequence.tokens):
                if offset == self._fault.at and not await self._inject_fault(request, response):
                    return
                await self._send_token(response, offset)
                offset += 1
            if self._sequence.finish_reason is not None:
                await self._send_end_marker(request, response)
                return
            await changed.wait()

    async def _inject_fault(self, request: web.Request, response: web.StreamResponse) -> bool:
        match self._fault.mode:
            case StreamFaultMode.CUT:
                abort_connection(request)
                return False
            case StreamFaultMode.STALL:
                await self._stall()
                return False
            case StreamFaultMode.CROSS:
                event = self._build_event(self._fault.at)
                other_event = replace(
                    event, attempt_id=self._fault.attempt_id, text=OTHER_ATTEMPT_TEXT
                )
                await _write_event(response, other_event)
            case StreamFaultMode.GARBAGE:
                await response.write(b"id: 0\ndata: {not json\n\n")
            case _:
                pass
        return True

    async def _stall(self) -> None:
        # The loop ends only when the handler is cancelled because the caller disconnects.
        while True:
            await self._clock.sleep(60_000)

    async def _send_token(self, response: web.StreamResponse, offset: int) -> None:
        if self._fault.mode is StreamFaultMode.LATE:
            await self._clock.sleep(self._fault.delay_ms)
        is_fault_offset = offset == self._fault.at
        if is_fault_offset and self._fault.mode is StreamFaultMode.GAP:
            return
        event = self._build_event(offset)
        if is_fault_offset and self._fault.mode is StreamFaultMode.OTHER_TOKEN:
            event = replace(event, text=event.text[::-1])
        await _write_event(response, event)

    async def _send_end_marker(self, request: web.Request, response: web.StreamResponse) -> None:
        end_offset = len(self._sequence.tokens)
        # A fault at an offset past the last token applies to the end marker.
        if self._fault.at >= end_offset and not await self._inject_fault(request, response):
            return
        if self._fault.mode is StreamFaultMode.DROP_END_MARKER:
            return
        event = replace(self._build_event(end_offset), finish_reason=self._sequence.finish_reason)
        await _write_event(response, event)

    def _build_event(self, offset: int) -> TokenEvent:
        tokens = self._sequence.tokens
        return TokenEvent(
            attempt_id=self._sequence.request.attempt_id,
            offset=offset,
            text=tokens[offset] if offset < len(tokens) else "",
        )


async def _write_event(response: web.StreamResponse, event: TokenEvent) -> None:
    data = msgspec.json.encode(event)
    await response.write(b"id: %d\ndata: %b\n\n" % (event.offset, data))
