"""Connections of a day's callers: how requests are sent and answers read, byte by byte."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from random import Random
import socket
from typing import Final
from typing import final

from standins.platform_day_hosts import DayHost
from standins.platform_day_ledger import now_ms
from standins.platform_day_records import DayCall
from standins.platform_world import HOST_NAME
from tanagerscale.core import MS_PER_SECOND

CONNECT_TIMEOUT_S: Final = 1.0
SLOW_BYTES_PER_S: Final = 1_000
SLOW_BUFFER_BYTES: Final = 1_024
BUFFER_BYTES: Final = 65_536
TORN_DELAY_RANGE_MS: Final = (1, 60)
LATE_CHUNK_RANGE_MS: Final = (20, 400)
MAX_ANSWER_BYTES: Final = 4_194_304
"""Length of an answer beyond which its caller leaves."""
BY_CALLER: Final = "by its caller"
IDLE_SHARE: Final = 0.8
"""Part of the time that a host keeps an idle connection for which callers use it."""


@dataclass(frozen=True, slots=True)
class DayRequest:
    """What a caller sends.

    :param method: HTTP method.
    :param target: Path and query.
    :param fields: Header fields.
    :param body: Body.
    :param chunks: Number of chunks of the body; 0 sends it with its length.
    :param is_torn: Whether it is sent in several segments.
    :param has_late_end: Whether the last chunk is sent late.
    """

    method: str
    target: str
    fields: Sequence[tuple[str, str]]
    body: bytes
    chunks: int = 0
    is_torn: bool = False
    has_late_end: bool = False

    def segments(self, rng: Random) -> list[bytes]:
        """Return its bytes as they are written one after the other."""
        framing = [("Content-Length", str(len(self.body)))] if self.method != "GET" else []
        if self.chunks:
            framing = [("Transfer-Encoding", "chunked")]
        fields = [("Host", HOST_NAME), *self.fields, *framing]
        head = f"{self.method} {self.target} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"
        if not self.chunks:
            return (
                _tear(head.encode() + self.body, rng)
                if self.is_torn
                else [head.encode() + self.body]
            )
        size = max(len(self.body) // self.chunks, 1)
        pieces = [self.body[at : at + size] for at in range(0, len(self.body), size)]
        data = head.encode() + b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces)
        segments = _tear(data, rng) if self.is_torn else [data]
        if self.has_late_end:
            return [*segments, b"0\r\n\r\n"]
        return [*segments[:-1], segments[-1] + b"0\r\n\r\n"]


def _tear(data: bytes, rng: Random) -> list[bytes]:
    cuts = sorted(rng.randrange(1, len(data)) for _ in range(rng.randint(1, 3)))
    edges = [0, *cuts, len(data)]
    return [data[start:end] for start, end in pairwise(edges) if end > start]


@final
class DayConnection:
    """A keep-alive connection to one host.

    :param host: The host.
    :param is_slow: Whether answers are read slowly.
    """

    def __init__(
        self,
        *,
        host: DayHost,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_slow: bool,
    ) -> None:
        self.host = host
        self.incarnation = host.instance.number
        self.requests = 0
        self.usable_until = float("inf")
        """Monotonic time in milliseconds until which the caller uses the idle connection."""
        self._is_slow = is_slow
        self._reader = reader
        self._writer = writer

    @property
    def is_usable(self) -> bool:
        """Whether no end of the connection has been seen yet."""
        return (
            not self._reader.at_eof()
            and self._reader.exception() is None
            and not self._writer.is_closing()
            and now_ms() < self.usable_until
        )

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def exchange(
        self, call: DayCall, request: DayRequest, rng: Random, *, gap_ms: float
    ) -> None:
        """Send a request and read its answer into its record.

        :param call: The record.
        :param request: The request.
        :param rng: Random number generator for the way in which it is sent.
        :param gap_ms: Time without any byte after which the caller gives up.
        """
        self.requests += 1
        sending = asyncio.create_task(self._send(call, request, rng))
        self._gives_up_at = call.first_byte + call.deadline_ms
        self._gap_ms = gap_ms
        try:
            async with asyncio.timeout(None) as self._patience:
                self._be_patient()
                await self._receive(call)
            call.is_complete = True
        except TimeoutError:
            call.close = BY_CALLER
        except EOFError:
            call.close = "FIN"
        except OSError as error:
            call.close = "RST" if isinstance(error, ConnectionResetError) else str(error)
        except ValueError as error:
            call.close = f"no HTTP: {error}"
        finally:
            if not sending.done():
                sending.cancel()
            call.ended = now_ms()
        timeout = call.headers.get("keep-alive", "").partition("timeout=")[2]
        if timeout:
            self.usable_until = now_ms() + float(timeout) * IDLE_SHARE * MS_PER_SECOND

    def _be_patient(self) -> None:
        """Wait for the next byte, up to the longest gap or the deadline."""
        limit_ms = min(self._gives_up_at, now_ms() + self._gap_ms)
        self._patience.reschedule(limit_ms / MS_PER_SECOND)

    async def _send(self, call: DayCall, request: DayRequest, rng: Random) -> None:
        segments = request.segments(rng)
        for number, segment in enumerate(segments):
            if number:
                is_end = request.has_late_end and number == len(segments) - 1
                delay = rng.randint(*(LATE_CHUNK_RANGE_MS if is_end else TORN_DELAY_RANGE_MS))
                await asyncio.sleep(delay / MS_PER_SECOND)
            self._writer.write(segment)
        call.sent = now_ms()

    async def _receive(self, call: DayCall) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        call.last_read = now_ms()
        self._be_patient()
        for line in head[1:-2]:
            name, _, value = line.partition(":")
            call.headers[name.lower()] = value.strip()
        call.status = int(head[0].split()[1])
        if call.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := await self._receive_chunk(call):
                if self._is_slow:
                    await asyncio.sleep(size / SLOW_BYTES_PER_S)
            return
        left = int(call.headers.get("content-length", "0"))
        while left:
            part = await self._reader.read(min(left, BUFFER_BYTES))
            if not part:
                raise EOFError
            left -= len(part)
            self._add(call, part)

    async def _receive_chunk(self, call: DayCall) -> int:
        size = int(await self._reader.readuntil(b"\r\n"), 16)
        chunk = await self._reader.readexactly(size + 2)
        self._add(call, chunk[:size])
        self._be_patient()
        return size

    def _add(self, call: DayCall, part: bytes) -> None:
        call.received += part
        call.last_read = now_ms()
        if len(call.received) > MAX_ANSWER_BYTES:
            raise TimeoutError("the answer is longer than its caller takes")


async def connect(host: DayHost, *, is_slow: bool) -> DayConnection | None:
    """Open a connection; return ``None`` if that fails or takes too long.

    :param host: The host.
    :param is_slow: Whether answers are read slowly, through small buffers.
    """
    connection = socket.socket()
    connection.setblocking(False)
    if is_slow:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    limit = SLOW_BUFFER_BYTES if is_slow else BUFFER_BYTES
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(connection, host.callers_address)
            reader, writer = await asyncio.open_connection(sock=connection, limit=limit)
    except OSError:
        connection.close()
        return None
    return DayConnection(host=host, reader=reader, writer=writer, is_slow=is_slow)
