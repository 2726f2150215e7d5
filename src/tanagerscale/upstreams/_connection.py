"""One HTTP/1.1 connection to an upstream, for one request at a time."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import unique
from typing import Final
from typing import final

from aiohttp import ClientError
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from msgspec import Struct
from multidict import CIMultiDictProxy

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import enable_tcp_keepalive

MAX_HEAD_BYTES: Final = 64 * 1024
"""Largest field and line of a reply's head that is read."""

READ_BUFFER_BYTES: Final = 64 * 1024
"""What may wait unread before the upstream is slowed down; a few hundred events."""

SILENCE_S: Final = 6
"""After so long without an acknowledgement a peer counts as gone. A stream so outlives a cut of its
link that its caller would have waited for."""

NO_BODY_STATUSES: Final = frozenset({204, 304})


@unique
class ExchangeFailure(Enum):
    """How far a request came before it failed."""

    NOT_SENT = "not-sent"
    """Not one byte of it has left."""
    LOST = "lost"
    """It was sent and its answer was not received whole."""


class ExchangeError(Exception):
    """A request that got no whole answer.

    :param failure: How far it came.
    :param detail: What went wrong, in a few words.
    """

    def __init__(self, failure: ExchangeFailure, detail: str) -> None:
        super().__init__(f"{detail}; choose another upstream.")
        self.failure = failure
        self.detail = detail


@final
class _Protocol(ResponseHandler):
    """aiohttp's reader of replies, which also keeps whether the connection was reset."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Keep how it ended, since a body without a length is whole only after a clean end."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class Reply(Struct, frozen=True, kw_only=True):
    """The head of a reply; its body is read from the connection.

    :param status: HTTP status.
    :param reason: Its phrase.
    :param headers: Its header fields.
    :param ends_with_connection: Whether only the end of the connection tells the end of the body.
    :param keeps_connection: Whether the upstream lets the connection be used again.
    """

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    ends_with_connection: bool
    keeps_connection: bool


@final
class HttpConnection:
    """A connection that carries one request after another.

    :param transport: The socket.
    :param protocol: Reads replies.
    :param opened: When it was made.
    """

    def __init__(
        self, *, transport: asyncio.Transport, protocol: _Protocol, opened: Millis
    ) -> None:
        self._transport = transport
        self._protocol = protocol
        self._body: StreamReader | None = None
        self._reply: Reply | None = None
        self._closed = False
        self.last_used = opened
        self.used = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent: it is open and nothing unasked has arrived."""
        return (
            self._protocol.is_connected()
            and not self._protocol.should_close
            and (self._reply is None or self._reply.keeps_connection)
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection has not ended."""
        return self._protocol.is_connected()

    def send(self, *, method: str, head: bytes, body: bytes) -> None:
        """Send a request.

        :param method: Its method, which decides whether a reply has a body.
        :param head: The whole head with the empty line at its end.
        :param body: The body.
        :raises ExchangeError: The connection had ended before.
        """
        if not self._protocol.is_connected():
            raise ExchangeError(ExchangeFailure.NOT_SENT, "The connection had ended")
        self._protocol.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self.used = True
        self._transport.write(head + body if body else head)

    async def receive(self) -> Reply:
        """Wait for the head of the next reply.

        :raises ExchangeError: The connection ended, or what came was no reply.
        """
        try:
            message, payload = await self._protocol.read()
            while message.code < 200:
                message, payload = await self._protocol.read()
        except (ClientError, HttpProcessingError, OSError) as error:
            detail = f"No answer came ({type(error).__name__})"
            raise ExchangeError(ExchangeFailure.LOST, detail) from error
        self._body = payload
        self._reply = _to_reply(message)
        return self._reply

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, or none after its end.

        :raises ExchangeError: The body is not whole.
        """
        assert self._body is not None
        assert self._reply is not None
        try:
            chunk = await self._body.readany()
        except (ClientError, HttpProcessingError, OSError) as error:
            detail = f"The answer broke off ({type(error).__name__})"
            raise ExchangeError(ExchangeFailure.LOST, detail) from error
        cut = self._closed or (self._reply.ends_with_connection and self._protocol.was_reset)
        if not chunk and cut:
            raise ExchangeError(ExchangeFailure.LOST, "The answer broke off")
        return chunk

    async def read_all(self) -> bytes:
        """Return the whole body.

        :raises ExchangeError: The body is not whole.
        """
        chunks = []
        while chunk := await self.read_some():
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """End the connection at once, so that the upstream stops what it does for it."""
        self._closed = True
        self._transport.abort()


async def open_connection(
    *, address: str, timeout_ms: int, now: Millis, silence_s: int = SILENCE_S
) -> HttpConnection:
    """Make a connection.

    :param address: IP number and port.
    :param timeout_ms: Longest wait.
    :param now: The present time.
    :param silence_s: Seconds without an acknowledgement after which the peer counts as gone.
    :raises ExchangeError: Nobody answered there in time.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            transport, protocol = await loop.create_connection(
                lambda: _Protocol(loop), host.strip("[]"), int(port)
            )
    except (OSError, TimeoutError, ValueError) as error:
        detail = f"No connection to {address} ({type(error).__name__})"
        raise ExchangeError(ExchangeFailure.NOT_SENT, detail) from error
    enable_tcp_keepalive(transport, timeout_s=silence_s)
    return HttpConnection(transport=transport, protocol=protocol, opened=now)


def _to_reply(message: RawResponseMessage) -> Reply:
    framed = message.chunked or "Content-Length" in message.headers
    bodiless = message.code in NO_BODY_STATUSES
    return Reply(
        status=message.code,
        reason=message.reason or "",
        headers=message.headers,
        ends_with_connection=not framed and not bodiless,
        keeps_connection=(framed or bodiless) and not message.should_close,
    )
