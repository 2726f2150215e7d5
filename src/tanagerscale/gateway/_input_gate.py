"""Separates the heads and bodies of requests, and limits how much of each is held."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from enum import unique
from typing import Final
from typing import final

from tanagerscale.gateway._chunk_decoder import ChunkDecoder

HEAD_END: Final = b"\r\n\r\n"
_LINE_ENDS: Final = b"\r\n"
_ALLOWED_EMPTY_BYTES: Final = 2
"""One empty line that some clients send behind a body (RFC 9112, section 2.2)."""


class HeadTooLargeError(ValueError):
    """Raised if a head exceeds its limit, with the empty lines before it."""


@unique
class _Part(Enum):
    HEAD = "head"
    BODY = "body"
    CHUNKS = "chunks"
    END = "end"


@final
class InputGate:
    """Splits the input of a connection into whole heads and parts of bodies.

    The parser gets a head when that is complete, and decides how the body is framed. A chunked body
    reaches it in larger chunks than the client's.

    :param head_bytes: Returns the largest head in bytes, with the empty lines before it.
    """

    def __init__(self, *, head_bytes: Callable[[], int]) -> None:
        self._head_bytes = head_bytes
        self._part = _Part.HEAD
        self._head = b""
        self._empty_bytes = 0
        self._limit = 0
        self._left = 0
        self._ends_after_body = False
        self._decoder: ChunkDecoder | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of a head that is not complete."""
        return len(self._head)

    @property
    def is_at_head(self) -> bool:
        """Whether the next input belongs to a head."""
        return self._part is _Part.HEAD

    @property
    def is_chunked(self) -> bool:
        """Whether the next input belongs to a chunked body."""
        return self._part is _Part.CHUNKS

    @property
    def has_ended(self) -> bool:
        """Whether no request may follow on the connection."""
        return self._part is _Part.END

    @property
    def has_begun_head(self) -> bool:
        """Whether a part of a head has arrived, or empty lines in its place."""
        return bool(self._head) or self._empty_bytes > _ALLOWED_EMPTY_BYTES

    def take(self, data: bytes) -> tuple[bytes, int]:
        """Return the next input for the parser.

        :param data: Input that follows what was taken before.
        :returns: A whole head, a part of a body or nothing, and how many bytes were used.
        :raises HeadTooLargeError: If a head exceeds its limit.
        :raises ChunkError: If a chunked body is malformed.
        """
        if self._part is _Part.HEAD:
            return self._take_head(data)
        if self._part is _Part.BODY:
            piece = data[: self._left]
            self._left -= len(piece)
            if not self._left:
                self._end_body()
            return piece, len(piece)
        if self._part is _Part.CHUNKS:
            return self._take_chunks(data)
        return b"", len(data)

    def begin_body(self, *, size: int | None, is_last: bool) -> None:
        """Set how the body of the head that was taken last is framed.

        :param size: Its size in bytes; ``None`` for a chunked body.
        :param is_last: Whether no request may follow on the connection.
        """
        self._ends_after_body = is_last
        if size is None:
            self._part = _Part.CHUNKS
            self._decoder = ChunkDecoder(line_bytes=self._limit)
            return
        self._part, self._left = _Part.BODY, size
        if not size:
            self._end_body()

    def end(self) -> None:
        """Ignore all input from now on."""
        self._part = _Part.END
        self._head = b""

    def _end_body(self) -> None:
        self._decoder = None
        self._part = _Part.END if self._ends_after_body else _Part.HEAD

    def _take_head(self, data: bytes) -> tuple[bytes, int]:
        if not self._head:
            # A changed limit applies from the next head on, or at once if it is larger.
            self._limit = self._head_bytes()
            if data[:1] in (b"\r", b"\n"):
                return self._take_empty_lines(data)
        self._limit = max(self._limit, self._head_bytes())
        known = len(self._head)
        room = self._limit - self._empty_bytes - known
        head = self._head + data[: room + 1]
        end = head.find(HEAD_END, max(0, known - len(HEAD_END) + 1))
        size = end + len(HEAD_END) if end >= 0 else len(head)
        if size - known > room:
            raise HeadTooLargeError(f"The head of a request exceeds {self._limit} bytes.")
        if end < 0:
            self._head = head
            return b"", size - known
        self._head = b""
        self._empty_bytes = 0
        return head[:size], size - known

    def _take_empty_lines(self, data: bytes) -> tuple[bytes, int]:
        size = len(data) - len(data.lstrip(_LINE_ENDS))
        self._empty_bytes += size
        if self._empty_bytes > self._limit:
            raise HeadTooLargeError(f"Empty lines before a request exceed {self._limit} bytes.")
        return b"", size

    def _take_chunks(self, data: bytes) -> tuple[bytes, int]:
        assert self._decoder is not None
        content, used = self._decoder.decode(data)
        piece = b"%x\r\n%s\r\n" % (len(content), content) if content else b""
        if self._decoder.is_complete:
            piece += b"0\r\n\r\n"
            self._end_body()
        return piece, used
