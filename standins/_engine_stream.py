"""The stream of events of one generation, with the faults it may be given."""

from __future__ import annotations

from typing import final

from aiohttp import web
import msgspec
from msgspec.structs import replace

from standins._batch import Sequence
from standins._common import cut_connection
from standins._engine_types import StreamFault
from standins._engine_types import StreamFaultMode
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import TokenEvent

OVERLAP_TOKENS = 2
FOREIGN_TEXT = " token-of-another-answer"


@final
class EventStream:
    """Sends a generation's events to one caller.

    :param sequence: The generation.
    :param fault: What goes wrong.
    :param resumed: Whether the caller came back for more.
    :param clock: The time.
    """

    def __init__(
        self, *, sequence: Sequence, fault: StreamFault, resumed: bool, clock: Clock
    ) -> None:
        self._sequence = sequence
        self._fault = fault
        self._resumed = resumed
        self._clock = clock

    async def send(
        self, *, request: web.Request, response: web.StreamResponse, offset: int
    ) -> None:
        """Send all events from an offset on, and return after the last one.

        :param request: The caller's request.
        :param response: The prepared answer.
        :param offset: Number of the first token.
        """
        if self._resumed and self._fault.mode is StreamFaultMode.OVERLAP:
            offset = max(0, offset - OVERLAP_TOKENS)
        while True:
            changed = self._sequence.changed
            while offset < len(self._sequence.tokens):
                if offset == self._fault.at and not await self._misbehave(request, response):
                    return
                await self._send_token(response, offset)
                offset += 1
            if self._sequence.finish is not None:
                await self._send_end(request, response)
                return
            await changed.wait()

    async def _misbehave(self, request: web.Request, response: web.StreamResponse) -> bool:
        match self._fault.mode:
            case StreamFaultMode.CUT:
                cut_connection(request)
                return False
            case StreamFaultMode.STALL:
                await self._stall()
                return False
            case StreamFaultMode.CROSS:
                event = self._event(self._fault.at)
                foreign = replace(event, attempt_id=self._fault.attempt_id, text=FOREIGN_TEXT)
                await _write(response, foreign)
            case StreamFaultMode.GARBAGE:
                await response.write(b"id: 0\ndata: {not json\n\n")
            case _:
                pass
        return True

    async def _stall(self) -> None:
        # The handler is cancelled when the caller hangs up, which is the only way out.
        while True:
            await self._clock.sleep(60_000)

    async def _send_token(self, response: web.StreamResponse, offset: int) -> None:
        if self._fault.mode is StreamFaultMode.LATE:
            await self._clock.sleep(self._fault.delay_ms)
        at_fault = offset == self._fault.at
        if at_fault and self._fault.mode is StreamFaultMode.GAP:
            return
        event = self._event(offset)
        if at_fault and self._fault.mode is StreamFaultMode.OTHER_TOKEN:
            event = replace(event, text=event.text[::-1])
        await _write(response, event)

    async def _send_end(self, request: web.Request, response: web.StreamResponse) -> None:
        total = len(self._sequence.tokens)
        # A fault at an offset behind the last token befalls the end marker.
        if self._fault.at >= total and not await self._misbehave(request, response):
            return
        if self._fault.mode is StreamFaultMode.DROP_END_MARKER:
            return
        event = replace(self._event(total), finish_reason=self._sequence.finish)
        await _write(response, event)

    def _event(self, offset: int) -> TokenEvent:
        tokens = self._sequence.tokens
        return TokenEvent(
            attempt_id=self._sequence.request.attempt_id,
            offset=offset,
            text=tokens[offset] if offset < len(tokens) else "",
        )


async def _write(response: web.StreamResponse, event: TokenEvent) -> None:
    data = msgspec.json.encode(event)
    await response.write(b"id: %d\ndata: %b\n\n" % (event.offset, data))
