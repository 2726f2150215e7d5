"""Sinks that deliver tokens to callers, streamed or buffered."""

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

RECONNECT_GRACE_MS = 5000
"""How long an attempt continues after a caller that holds a cursor has disconnected."""


class EventWriter(Protocol):
    """An open response to a caller; ``write`` waits while the caller reads slowly."""

    def write(self, data: bytes) -> Awaitable[None]:
        """Send bytes to the caller."""


SignerFactory = Callable[[AttemptId, UpstreamId], CursorSigner]


@final
class EventFormat:
    """Encodes tokens as server-sent events of the completions API.

    :param binding: Binding of the request; events contain its request id and model.
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

        :param cursor: Cursor for the position after the tokens.
        :param text: Text of the tokens.
        """
        return b"id: " + cursor + self._start + self._encode(text) + self._end

    def finish(self, *, cursor: bytes, reason: str) -> bytes:
        """Return the last events of a complete response.

        :param cursor: Cursor for the position after the last token.
        :param reason: Finish reason of the generation.
        """
        closing = self._finish + self._encode(reason) + b"}]}\n\ndata: [DONE]\n\n"
        return b"id: " + cursor + self._start + b'""' + closing


@final
class StreamSink:
    """Streams each batch of tokens to the caller as one event when it arrives.

    :param writer: Response to the caller.
    :param signer_of: Creates the signer of an attempt's cursors.
    :param event_format: Encodes the events.
    :param offset: Number of tokens that the caller already has.
    :param checksum: Running CRC-32 of their text.
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
        """How long the attempt continues after a disconnect; a caller can resume by its cursor."""
        return RECONNECT_GRACE_MS

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Use the cursors of a new attempt from now on."""
        self._signer = self._signer_of(attempt, engine)

    def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> Awaitable[None]:
        """Send one event with all texts, so that the caller receives all of them or none."""
        self._offset = offset
        self._checksum = checksum
        text = texts[0] if len(texts) == 1 else "".join(texts)
        return self._writer.write(self._format.tokens(cursor=self._cursor(), text=text))

    def discard(self) -> bool:
        """Return whether the caller has received no tokens yet."""
        return self._offset == 0

    async def finish(self, *, reason: str) -> None:
        """Send the end marker of a complete response.

        :param reason: Finish reason of the generation.
        """
        await self._writer.write(self._format.finish(cursor=self._cursor(), reason=reason))

    def _cursor(self) -> bytes:
        if self._signer is None:
            raise RuntimeError(
                "Tokens cannot be delivered before an attempt has begun; call begin first."
            )
        return self._signer.sign(offset=self._offset, checksum=self._checksum)


@final
class BufferedSink:
    """Buffers all tokens until the response is complete.

    :param signer_of: Creates the signer of an attempt's cursors; ``None`` for callers that asked
        for a single plain response.
    :param writer: Response to a caller that asked for events; it gets a cursor for each attempt.
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
        """Text of all tokens received so far."""
        return "".join(self._texts)

    @property
    def cancel_after_ms(self) -> int | None:
        """How long the attempt continues after a disconnect; 0 if the caller has no cursor."""
        return 0 if self._signer_of is None else RECONNECT_GRACE_MS

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Send a caller that asked for events the cursor of a new attempt."""
        if self._signer_of is None or self._writer is None:
            return
        self._signer = self._signer_of(attempt, engine)
        cursor = self._signer.sign(offset=0, checksum=0)
        await self._writer.write(b"id: " + cursor + b"\n\n")

    async def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> None:
        """Buffer the texts."""
        self._texts.extend(texts)
        self._offset = offset
        self._checksum = checksum

    def discard(self) -> bool:
        """Drop all tokens, none of which have been sent to the caller; always return ``True``."""
        self._texts.clear()
        return True

    async def send_all(self, *, event_format: EventFormat, reason: str) -> None:
        """Send the complete response and its end marker to a caller that asked for events.

        :param event_format: Encodes the events.
        :param reason: Finish reason of the generation.
        """
        if self._signer is None or self._writer is None:
            raise RuntimeError(
                "Events can't be sent to a caller that did not ask for them; read the text instead."
            )
        cursor = self._signer.sign(offset=self._offset, checksum=self._checksum)
        tokens = event_format.tokens(cursor=cursor, text=self.text) if self._texts else b""
        await self._writer.write(tokens + event_format.finish(cursor=cursor, reason=reason))
