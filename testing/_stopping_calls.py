"""Calls around the stop of a host, and what became of them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import Any

FIRST_EVENTS = 3
"""Events of a stream before its last part."""
PIECE_BYTES = 100_000
LAST_CHUNK = b"0\r\n\r\n"
HEAD_END = b"\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@unique
class Answer(Enum):
    """Kind of an answer."""

    STREAM = "stream"
    PLAIN = "plain"


@unique
class Size(Enum):
    """Size of the last part of an answer, in bytes."""

    SMALL = 100
    KERNEL = 200_000
    """Fits into the send buffer of the kernel."""
    TRANSPORT = 6_000_000
    """Exceeds the send buffer of the kernel."""


@unique
class End(Enum):
    """When the upstream sends the last part of an answer, in milliseconds after SIGTERM."""

    BEFORE = -300
    AT_STOP = 0
    LISTENER_CLOSED = 2500
    MIDDLE = 5000
    BEFORE_LAST_SIXTH = 6400
    IN_LAST_SIXTH = 6900
    FINAL_RESPONSES = 7100
    NEVER = 60_000


@unique
class Sent(Enum):
    """When a request is sent, in milliseconds after SIGTERM."""

    BEFORE = -1000
    WHILE_LISTENING = 1000
    AT_END_OF_LISTENING = 2400


@unique
class Caller(Enum):
    """What a caller does on its connection."""

    USUAL = "usual"
    KEPT = "kept"
    """Has made another call on its connection before."""
    SLOW = "slow"
    """Reads 1 kB/s into a small receive buffer until the host has ended, then at once."""
    PAUSED = "paused"
    """Does not read for 3 s from just before the end of the answer."""
    PIPELINED = "pipelined"
    """Sends its next request together with the first one."""
    NEXT_DURING = "next-during"
    """Sends its next request after the first event."""
    NEXT_UNREAD = "next-unread"
    """Pauses, and sends its next request before it reads on."""
    CRLF_UNREAD = "crlf-unread"
    """Pauses, and sends an empty line before it reads on."""
    HALF_CLOSE = "half-close"
    """Shuts down its sending direction after its request."""
    HALF_CLOSE_DURING = "half-close-during"
    """Shuts down its sending direction after SIGTERM, while it reads its answer."""
    LATE_LAST_CHUNK = "late-last-chunk"
    """Sends the last chunk of its body late."""
    LATE_FINAL_CRLF = "late-final-crlf"
    """Sends the empty line after the last chunk late."""
    LATE_TRAILER = "late-trailer"
    """Sends a trailer field, and the empty line late."""
    EXTRA_CRLF = "extra-crlf"
    """Sends an empty line after the first event."""
    EXTRA_BYTES = "extra-bytes"
    """Sends bytes that are no request after the first event."""
    BYTES_AT_END = "bytes-at-end"
    """Sends empty lines all the time around the end of the answer."""
    EXPECT = "expect-continue"
    RELAY = "relay"
    """Is connected through a TCP relay."""
    RELAY_HALF_CLOSE = "relay-half-close"
    """Shuts down its sending direction behind a relay that then closes its connection."""


CALLERS_WITH_SMALL_BUFFERS = (
    Caller.SLOW,
    Caller.PAUSED,
    Caller.NEXT_UNREAD,
    Caller.CRLF_UNREAD,
)


@dataclass(frozen=True, kw_only=True)
class Call:
    """One cell of the matrix."""

    answer: Answer = Answer.STREAM
    caller: Caller = Caller.USUAL
    end: End
    size: Size = Size.SMALL
    sent: Sent = Sent.BEFORE

    @property
    def id(self) -> str:
        """Id of the request and of the test."""
        names = (self.answer.name, self.caller.name, self.end.name, self.size.name, self.sent.name)
        return ".".join(names).lower()


@dataclass(kw_only=True)
class Outcome:
    """What became of a call.

    :param data: Everything that the caller has read.
    :param ended_by: How its connection ended: ``FIN`` or ``RST``; ``open`` after a refusal.
    :param after_ms: When that was, after SIGTERM.
    :param lines: Lines of the log that name the request.
    :param next_lines: Lines of the log that name the next request on the connection.
    """

    data: bytes = b""
    ended_by: str = ""
    after_ms: int = 0
    lines: list[dict[str, Any]] = field(default_factory=list)
    next_lines: list[dict[str, Any]] = field(default_factory=list)

    @property
    def status(self) -> int:
        """Status of the answer; 0 without one."""
        _, _, rest = self.data.rpartition(INTERIM)
        return int(rest.split(b" ")[1]) if HEAD_END in rest else 0

    @property
    def answer(self) -> bytes:
        """The first answer on the connection, as far as it was read, without its head."""
        _, _, rest = self.data.rpartition(INTERIM)
        head, _, body = rest.partition(HEAD_END)
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return body[: int(line.partition(b":")[2])]
        return body.partition(LAST_CHUNK)[0]

    @property
    def is_whole(self) -> bool:
        """Whether the first answer is whole by its framing."""
        _, _, rest = self.data.rpartition(INTERIM)
        head, separator, body = rest.partition(HEAD_END)
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) >= int(line.partition(b":")[2])
        return bool(separator) and LAST_CHUNK in body

    @property
    def warnings(self) -> list[str]:
        """Messages of the lines that name the request and can't be left out by the rate limit."""
        return [line["message"] for line in self.lines if line["level"] != "info"]

    @property
    def last_line(self) -> str:
        """The last line that names the request."""
        if not self.lines:
            return "nothing"
        line = self.lines[-1]
        phase = f" ({line['phase']})" if "phase" in line else ""
        return f"{line['level']}: {line['message']}{phase}"


def make_last_part(call: Call) -> bytes:
    """Return what the upstream sends at the end of an answer."""
    if call.answer is Answer.PLAIN:
        return b"y" * call.size.value
    pieces = -(-call.size.value // PIECE_BYTES)
    size = call.size.value // pieces
    return b"".join(make_event(FIRST_EVENTS + 1 + n, b"y" * size) for n in range(pieces))


def split_events(data: bytes) -> list[bytes]:
    """Return each event by itself."""
    return [event + b"\n\n" for event in data.split(b"\n\n")[:-1]]


def make_event(number: int, text: bytes) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: %b\n\n" % (number, text)
