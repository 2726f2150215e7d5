"""Incremental decoder of the chunked transfer coding (RFC 9112, section 7.1)."""

from __future__ import annotations

from enum import Enum
from enum import unique
import re
from typing import Final
from typing import final

MAX_CHUNKS_PER_CALL: Final = 1024
"""Chunks that one call decodes, so that none keeps the event loop for long."""

_CRLF: Final = b"\r\n"
_SIZE_LINE: Final = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_SIZES: Final = {b"%x" % size: size for size in range(1, 4096)}
"""Sizes of small chunks by their lines, since parsing these takes longer."""
_SMALL_LINE_BYTES: Final = 5
""""fff" and the end of its line."""


class ChunkError(ValueError):
    """Raised if a body does not follow the chunked coding."""


@unique
class _Part(Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data-end"
    TRAILER = "trailer"


@final
class ChunkDecoder:
    """Decodes one body.

    :param line_bytes: Longest line of a chunk's size or of all trailer fields, in bytes.
    """

    def __init__(self, *, line_bytes: int) -> None:
        self._line_bytes = line_bytes
        self._part = _Part.SIZE
        self._left = 0
        self._line = b""
        self._trailer_bytes = 0
        self.is_complete = False
        """Whether the end of the body has been decoded."""

    def decode(self, data: bytes) -> tuple[bytes, int]:
        """Decode the next input.

        :param data: Input that follows what was decoded before.
        :returns: Content, and how many bytes of the input were used. The rest is to be given again.
        :raises ChunkError: If the input is not in the chunked coding.
        """
        content: list[bytes] = []
        position, chunks = self._decode_small_chunks(data, content)
        while position < len(data) and chunks < MAX_CHUNKS_PER_CALL and not self.is_complete:
            if self._part is _Part.DATA:
                piece = data[position : position + self._left]
                content.append(piece)
                position += len(piece)
                self._left -= len(piece)
                if not self._left:
                    self._part = _Part.DATA_END
                continue
            line, position = self._read_line(data, position)
            if line is not None:
                chunks += self._part is _Part.DATA_END
                self._handle_line(line)
        return b"".join(content), position

    def _decode_small_chunks(self, data: bytes, content: list[bytes]) -> tuple[int, int]:
        """Decode whole chunks at the start of the input, which takes a third of the usual time.

        :returns: How many bytes were used, and how many chunks these were.
        """
        position = 0
        if self._part is not _Part.SIZE or self._line:
            return 0, 0
        find, get_size, add = data.find, _SIZES.get, content.append
        for chunks in range(MAX_CHUNKS_PER_CALL):
            line_end = find(_CRLF, position, position + _SMALL_LINE_BYTES)
            size = get_size(data[position:line_end]) if line_end >= 0 else None
            if size is None:
                return position, chunks
            begin = line_end + 2
            end = begin + size
            if data[end : end + 2] != _CRLF:
                return position, chunks
            add(data[begin:end])
            position = end + 2
        return position, MAX_CHUNKS_PER_CALL

    def _handle_line(self, line: bytes) -> None:
        if self._part is _Part.DATA_END:
            if line:
                raise ChunkError("A chunk is longer than its size.")
            self._part = _Part.SIZE
        elif self._part is _Part.SIZE:
            self._left = _parse_size(line)
            self._part = _Part.DATA if self._left else _Part.TRAILER
        else:
            self._trailer_bytes += len(line) + len(_CRLF)
            if self._trailer_bytes > self._line_bytes:
                raise ChunkError("The trailer fields are too long.")
            self.is_complete = not line

    def _read_line(self, data: bytes, position: int) -> tuple[bytes | None, int]:
        """Return the next line without its end, or ``None``, and the position behind it."""
        if not self._line:
            end = data.find(_CRLF, position)
            if 0 <= end <= position + self._line_bytes:
                return data[position:end], end + len(_CRLF)
        joined = self._line + data[position : position + self._line_bytes + len(_CRLF)]
        end = joined.find(_CRLF)
        if end < 0:
            if len(joined) > self._line_bytes + 1:
                raise ChunkError("A line is too long.")
            self._line = joined
            return None, len(data)
        if end > self._line_bytes:
            raise ChunkError("A line is too long.")
        position += end + len(_CRLF) - len(self._line)
        self._line = b""
        return joined[:end], position


def _parse_size(line: bytes) -> int:
    match = _SIZE_LINE.fullmatch(line)
    if match is None:
        raise ChunkError("The size of a chunk is not a hexadecimal number.")
    return int(match[1], 16)
