"""The ways tokens reach a caller."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol
from typing import final

import msgspec

from tanagerscale.core import AttemptId
from tanagerscale.core import UpstreamId
from tanagerscale.delivery._cursor import CursorBinding
from tanagerscale.delivery._cursor import CursorSigner

COMEBACK_MS = 5000
"""How long an attempt goes on for a caller that has left and holds a cursor."""


class EventWriter(Protocol):
    """An open reply to a caller; ``write`` waits while the caller reads slowly."""

    def write(self, data: bytes) -> Awaitable[None]:
        """Send bytes."""


SignerFactory = Callable[[AttemptId, UpstreamId], CursorSigner]


@final
class EventFormat:
    """Frames tokens as server-sent events in the form of the callers' interface.

    :param binding: Names the request; events carry its request id and model.
    """

    def __init__(self, *, binding: CursorBinding) -> None:
        kind = "chat.completion.chunk" if binding.chat else "text_completion"
        start = msgspec.json.encode({"id": binding.request, "object": kind, "model": binding.model})
        opening = (
            b',"choices":[{"index":0,"delta":{"content":'
            if binding.chat
            else (b',"choices":[{"index":0,"text":')
        )
        self._start = b"\ndata: " + start[:-1] + opening
        self._end = (
            b'},"finish_reason":null}]}\n\n' if binding.chat else b',"finish_reason":null}]}\n\n'
        )
        self._finish = b'},"finish_reason":' if binding.chat else b',"finish_reason":'
        self._encode = msgspec.json.Encoder().encode

    def tokens(self, *, cursor: bytes, text: str) -> bytes:
        """Return one event with the text of one or more tokens.

        :param cursor: Position behind them.
        :param text: Their text.
        """
        return b"id: " + cursor + self._start + self._encode(text) + self._end

    def finish(self, *, cursor: bytes, reason: str) -> bytes:
        """Return the last events of a whole answer.

        :param cursor: Position behind the last token.
        :param reason: Why the generation ended.
        """
        closing = self._finish + self._encode(reason) + b"}]}\n\ndata: [DONE]\n\n"
        return b"id: " + cursor + self._start + b'""' + closing


@final
class StreamSink:
    """Hands each batch on as one event, as it comes.

    :param writer: Reply to the caller.
    :param signer_of: Makes the signer of an attempt's cursors.
    :param event_format: Frames the events.
    :param offset: Tokens the caller already holds.
    """

    def __init__(
        self,
        *,
        writer: EventWriter,
        signer_of: SignerFactory,
        event_format: EventFormat,
        offset: int = 0,
        checksum: int = 0,
    ) -> None:
        self._writer = writer
        self._signer_of = signer_of
        self._format = event_format
        self._signer: CursorSigner | None = None
        self._offset = offset
        self._checksum = checksum

    @property
    def cancel_after_ms(self) -> int | None:
        """A caller with a cursor may come back for a while."""
        return COMEBACK_MS

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Sign the cursors of a new attempt from now on."""
        self._signer = self._signer_of(attempt, engine)

    def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> Awaitable[None]:
        """Send one event with all texts, so that the caller holds all of them or none."""
        self._offset = offset
        self._checksum = checksum
        text = texts[0] if len(texts) == 1 else "".join(texts)
        return self._writer.write(self._format.tokens(cursor=self._cursor(), text=text))

    def discard(self) -> bool:
        """Return whether the caller holds nothing yet."""
        return self._offset == 0

    async def finish(self, *, reason: str) -> None:
        """Send the end marker of a whole answer.

        :param reason: Why the generation ended.
        """
        await self._writer.write(self._format.finish(cursor=self._cursor(), reason=reason))

    def _cursor(self) -> bytes:
        if self._signer is None:
            raise RuntimeError("Tokens came before their attempt; call begin first.")
        return self._signer.sign(offset=self._offset, checksum=self._checksum)


@final
class WholeSink:
    """Holds all tokens until the answer is complete.

    :param signer_of: Makes the signer of an attempt's cursors; ``None`` for callers that take
        one plain reply.
    :param writer: Reply to a caller that asked for events, who gets a cursor for each attempt.
    """

    def __init__(
        self, *, signer_of: SignerFactory | None = None, writer: EventWriter | None = None
    ) -> None:
        self._texts: list[str] = []
        self._signer_of = signer_of
        self._writer = writer
        self._signer: CursorSigner | None = None
        self._offset = 0
        self._checksum = 0

    @property
    def text(self) -> str:
        """All tokens so far."""
        return "".join(self._texts)

    @property
    def cancel_after_ms(self) -> int | None:
        """Only a caller that holds a cursor can come back."""
        return 0 if self._signer_of is None else COMEBACK_MS

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Give a caller of events the cursor of a new attempt."""
        if self._signer_of is None or self._writer is None:
            return
        self._signer = self._signer_of(attempt, engine)
        cursor = self._signer.sign(offset=0, checksum=0)
        await self._writer.write(b"id: " + cursor + b"\n\n")

    async def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> None:
        """Hold the texts."""
        self._texts.extend(texts)
        self._offset = offset
        self._checksum = checksum

    def discard(self) -> bool:
        """Drop all tokens, none of which has reached the caller."""
        self._texts.clear()
        return True

    async def send_all(self, *, event_format: EventFormat, reason: str) -> None:
        """Send the whole answer and its end marker to a caller of events.

        :param event_format: Frames the events.
        :param reason: Why the generation ended.
        """
        if self._signer is None or self._writer is None:
            raise RuntimeError("The caller did not ask for events; read the text instead.")
        cursor = self._signer.sign(offset=self._offset, checksum=self._checksum)
        tokens = event_format.tokens(cursor=cursor, text=self.text) if self._texts else b""
        await self._writer.write(tokens + event_format.finish(cursor=cursor, reason=reason))
