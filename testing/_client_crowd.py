"""Crowds of clients that send more than the limits allow, or never complete what they send."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from itertools import count

from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME

BODY_BYTES = 4_194_304
"""Largest body that the configuration of the tests allows."""
HEAD_BYTES = 16_384
"""Largest head that the configuration of the tests allows."""
PIECE_BYTES = 64 * 1024
REOPEN_S = 0.2
"""Pause after which a closed connection is replaced."""
PIECE_PAUSE_S = 0.02
TRICKLE_S = 0.05

Script = Callable[[], AsyncIterator[bytes]]
"""Yields what one connection sends; the connection stays open afterwards."""

_attempts = count(1)


def make_head(
    framing: str = "Content-Length: 0",
    *,
    target: str = "/book/x",
    extra: str = "",
    key: str | None = API_KEY,
) -> bytes:
    """Return the head of a booking.

    :param framing: Header field that tells the length of the body.
    :param target: Path and query.
    :param extra: Further header fields, each with its line ending.
    :param key: API key; ``None`` for none.
    """
    authorization = "" if key is None else f"Authorization: Bearer {key}\r\n"
    return (
        f"POST {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Tanagerscale-Attempt-Id: attempt-{next(_attempts):08}\r\n"
        f"Tanagerscale-Deadline-Remaining: 30000\r\n{authorization}{extra}{framing}\r\n\r\n"
    ).encode()


WITH_LENGTH = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"


def make_chunks(size: int, total: int = BODY_BYTES) -> Iterator[bytes]:
    """Yield a whole chunked body in pieces.

    :param size: Size of each chunk in bytes.
    :param total: Size of the body in bytes.
    """
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    at_once = max(1, PIECE_BYTES // size)
    for done in range(0, total // size, at_once):
        yield chunk * min(at_once, total // size - done)
    yield b"0\r\n\r\n"


def _endless(first: Callable[[], bytes], more: bytes) -> Script:
    async def send() -> AsyncIterator[bytes]:
        yield first()
        while True:
            yield more

    return send


def _trickle(first: Callable[[], bytes], more: bytes) -> Script:
    async def send() -> AsyncIterator[bytes]:
        yield first()
        while True:
            await asyncio.sleep(TRICKLE_S)
            yield more

    return send


async def _stopping_head() -> AsyncIterator[bytes]:
    yield make_head(WITH_LENGTH)[:-2] + b"A: " + b"x" * (HEAD_BYTES + 1024)


def _short_body(*, pause_s: float, key: str | None) -> Script:
    async def send() -> AsyncIterator[bytes]:
        yield make_head(WITH_LENGTH, key=key)
        for _ in range(BODY_BYTES // PIECE_BYTES - 1):
            yield b"x" * PIECE_BYTES
            await asyncio.sleep(pause_s)
        yield b"x" * (PIECE_BYTES - 1)

    return send


def _short_chunks(size: int, *, key: str | None = API_KEY) -> Script:
    async def send() -> AsyncIterator[bytes]:
        yield make_head(CHUNKED, key=key)
        last = b""
        for piece in make_chunks(size):
            if last:
                yield last
            last = piece
        # What is left out is the last chunk.

    return send


HEAD_FORMS: dict[str, Script] = {
    "line": _endless(lambda: b"POST /", b"x" * PIECE_BYTES),
    "field": _endless(lambda: b"POST /book/x HTTP/1.1\r\nA: ", b"x" * PIECE_BYTES),
    "fields": _endless(lambda: b"POST /book/x HTTP/1.1\r\n", b"A: b\r\n" * 10_000),
    "blank_crlf": _endless(lambda: b"\r\n", b"\r\n" * (PIECE_BYTES // 2)),
    "blank_lf": _endless(lambda: b"\n", b"\n" * PIECE_BYTES),
    "blank_behind": _endless(
        lambda: b"GET /nothing/ HTTP/1.1\r\nHost: x\r\n\r\n", b"\r\n" * (PIECE_BYTES // 2)
    ),
    "stopping": _stopping_head,
}
"""Heads over the limit, and empty lines in place of one."""

SLOW_FORMS: dict[str, Script] = {
    "silent": _trickle(lambda: b"", b""),
    "blank": _trickle(lambda: b"\r\n", b"\r\n"),
    "blank_behind": _trickle(lambda: b"GET /nothing/ HTTP/1.1\r\nHost: x\r\n\r\n", b"\r\n"),
    "head": _trickle(lambda: b"POST /book/x HTTP/1.1\r\nA: ", b"x"),
    "body": _trickle(lambda: make_head(WITH_LENGTH), b"x"),
}
"""Connections that stay open with little or nothing sent on them."""

BODY_FORMS: dict[str, Script] = {
    "whole": _short_body(pause_s=0, key=API_KEY),
    "pieces": _short_body(pause_s=PIECE_PAUSE_S, key=API_KEY),
    "chunks_4m": _short_chunks(BODY_BYTES - 1024),
    "chunks_64k": _short_chunks(64 * 1024),
    "chunks_16": _short_chunks(16),
    "chunks_1": _short_chunks(1),
    "whole_without_key": _short_body(pause_s=0, key=None),
    "pieces_without_key": _short_body(pause_s=PIECE_PAUSE_S, key=None),
    "chunks_16_without_key": _short_chunks(16, key=None),
}
"""Bodies of legal size that stop short of their end."""


class ClientCrowd:
    """Connections that send one form each, and are replaced when they are closed.

    :param script: What each connection sends.
    :param address: IP address and port.
    :param size: Number of connections.
    """

    def __init__(self, script: Script, *, address: str, size: int) -> None:
        self._script = script
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._size = size
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> ClientCrowd:
        """Open the connections."""
        self._tasks = [asyncio.create_task(self._run()) for _ in range(self._size)]
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Abort the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._connect()
            await asyncio.sleep(REOPEN_S)

    async def _connect(self) -> None:
        reader, writer = await asyncio.open_connection(self._ip, self._port)
        try:
            async for data in self._script():
                writer.write(data)
                await writer.drain()
                if reader.at_eof():
                    return
            await reader.read()
        finally:
            writer.transport.abort()
