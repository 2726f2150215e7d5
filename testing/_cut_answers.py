"""Answers of upstreams that end after any of their bytes, and what a caller reads of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
from enum import Enum
from enum import unique

from standins._common import LOOPBACK
from tanagerscale.platform._headers import REQUEST_ID
from testing._scripted_peer import Part
from testing._scripted_peer import Pause
from testing._scripted_peer import Reset

STAMP = "Tanagerscale-Server-Stamp"
STAMP_VALUE = "s1"
HTTP_OK = 200
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
PIECE_GAP_S = 0.001
"""Enough for a host on the same event loop to read a piece before the next one is sent."""
CONCURRENT_CALLS = 24
READ_BYTES = 65536


@unique
class Framing(Enum):
    """How an answer shows where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE_DELIMITED = "close-delimited"
    AFTER_CONTINUE = "after-continue"
    """With a length, behind an interim answer."""


def encode_framed(
    framing: Framing, *, id: str, body: bytes, fields: Sequence[tuple[str, str]] = ()
) -> bytes:
    """Return a whole answer.

    :param framing: How it shows where its body ends.
    :param id: Id of its request.
    :param body: Its body.
    :param fields: Further header fields.
    """
    lines = ["HTTP/1.1 200 OK", f"{REQUEST_ID}: {id}", f"{STAMP}: {STAMP_VALUE}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if framing is Framing.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = (body[:half], body[half:])
        content = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + LAST_CHUNK
    else:
        content = body
    if framing in (Framing.LENGTH, Framing.AFTER_CONTINUE):
        lines.append(f"Content-Length: {len(body)}")
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" if framing is Framing.AFTER_CONTINUE else b""
    return interim + "\r\n".join([*lines, "", ""]).encode() + content


def find_head_size(answer: bytes) -> int:
    """Return the size of the head of an answer, with an interim answer before it."""
    return answer.index(HEAD_END, answer.index(b"HTTP/1.1 200")) + len(HEAD_END)


@dataclass(frozen=True, kw_only=True)
class Cut:
    """Where and how an answer ends.

    :param size: Bytes of the answer that are sent.
    :param is_reset: Whether the connection is reset, and not closed.
    :param is_split: Whether the bytes are sent in two pieces.
    """

    size: int
    is_reset: bool
    is_split: bool

    def apply(self, answer: bytes) -> list[Part]:
        """Return what is sent of an answer."""
        sent = answer[: self.size]
        middle = self.size // 2 if self.is_split else 0
        parts: list[Part] = [part for part in (sent[:middle], sent[middle:]) if part]
        if len(parts) > 1:
            parts.insert(1, Pause(wait_s=PIECE_GAP_S))
        return [*parts, Reset() if self.is_reset else b""]


def every_cut(size: int, *, is_thinned: bool = False) -> Iterator[Cut]:
    """Return the cuts after each byte of an answer, also after its last one.

    :param size: Bytes of the answer.
    :param is_thinned: Whether what ends after a byte comes in one piece for one of the two kinds of
        end and in two for the other, in turn, and not in both ways for both.
    """
    for sent in range(size + 1):
        for is_reset in (False, True):
            for is_split in (False, True):
                if not is_thinned or is_split == ((sent + is_reset) % 2 == 0):
                    yield Cut(size=sent, is_reset=is_reset, is_split=is_split)


@dataclass(frozen=True, kw_only=True)
class ReadAnswer:
    """What a caller has read.

    :param status: HTTP status; 0 without a whole head.
    :param headers: Header fields, by name in lower case.
    :param body: The body, as far as it came.
    :param is_whole: Whether the framing says that the body is whole.
    """

    status: int = 0
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = False

    @property
    def is_success(self) -> bool:
        """Whether a caller takes it for a whole answer of an upstream."""
        return self.is_whole and self.status == HTTP_OK


async def read_answer(address: str, request: bytes) -> ReadAnswer:
    """Send a request on a new connection and read until the connection ends.

    :param address: IP address and port.
    :param request: The request; must ask for the end of the connection.
    """
    reader, writer = await asyncio.open_connection(LOOPBACK, int(address.rpartition(":")[2]))
    writer.write(request)
    data, is_reset = b"", True
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(READ_BYTES):
            data += chunk
        is_reset = False
    writer.close()
    return _decode(data, is_reset=is_reset)


async def call_all(
    calls: Sequence[Callable[[], Awaitable[ReadAnswer]]],
) -> list[ReadAnswer]:
    """Make calls, a few at a time, and return their answers in order."""
    allowed = asyncio.Semaphore(CONCURRENT_CALLS)

    async def make(call: Callable[[], Awaitable[ReadAnswer]]) -> ReadAnswer:
        async with allowed:
            return await call()

    return await asyncio.gather(*(make(call) for call in calls))


def _decode(data: bytes, *, is_reset: bool) -> ReadAnswer:
    head, separator, rest = data.partition(HEAD_END)
    if not separator:
        return ReadAnswer(headers={})
    status_line, *lines = head.decode().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    if "content-length" in headers:
        size = int(headers["content-length"])
        body, is_whole = rest, len(rest) == size
        assert len(rest) <= size
    elif headers.get("transfer-encoding") == "chunked":
        body, is_whole = _decode_chunks(rest)
    else:
        body, is_whole = rest, not is_reset
    status = int(status_line.split(" ")[1])
    return ReadAnswer(status=status, headers=headers, body=body, is_whole=is_whole)


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while True:
        line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return body, False
        size = int(line, 16)
        if not size:
            assert rest in (b"", b"\r", b"\r\n")
            return body, rest == b"\r\n"
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        data = rest[size + 2 :]
