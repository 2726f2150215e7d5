"""An HTTP/1.1 connection to an upstream that carries one request at a time."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import unique
from typing import Final
from typing import final

from aiohttp import ClientError
from aiohttp import StreamReader
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from msgspec import Struct
from multidict import CIMultiDictProxy

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import enable_tcp_keepalive
from tanagerscale.core import find_unread
from tanagerscale.core import finish_within
from tanagerscale.policy import ByteAccount
from tanagerscale.upstreams._exchange_log import ConnectionHistory
from tanagerscale.upstreams._response_protocol import ResponseProtocol
from tanagerscale.upstreams._statuses import find_status_fault
from tanagerscale.upstreams._statuses import is_interim

MAX_HEAD_BYTES: Final = 64 * 1024
"""Maximum size of the status line and of each header field of a response."""

READ_BUFFER_BYTES: Final = 64 * 1024
"""Amount of unread data, a few hundred events, above which reading from the upstream is paused."""

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of a body that is kept as a whole or discarded. Some bodies have no end."""

MAX_TRUSTED_LENGTH: Final = 4 * 1024 * 1024
"""Announced length up to which a body does not fail before those of unknown length. A faulty peer
could announce more than it ever sends."""

DEAD_PEER_TIMEOUT_S: Final = 6
"""Time without an acknowledgement after which a peer counts as dead. It is long enough for a stream
to survive a network interruption that its caller would have waited out."""

NO_BODY_STATUSES: Final = frozenset({204, 304})


@unique
class ExchangeFailure(Enum):
    """How far a request got before it failed."""

    NOT_SENT = "not-sent"
    """No byte of the request was sent."""
    LOST = "lost"
    """The request was sent, but no complete response was received."""
    TOO_LARGE = "too-large"
    """The request was sent, but this host has not enough memory for the response."""


class ExchangeError(Exception):
    """Raised when a request got no complete response.

    :param failure: How far the request got.
    :param detail: Short description of the fault.
    """

    def __init__(self, failure: ExchangeFailure, detail: str) -> None:
        super().__init__(f"{detail}; choose another upstream.")
        self.failure = failure
        self.detail = detail


class UpstreamLeavingError(ExchangeError):
    """Raised when a request was not sent, since its upstream began to leave after the choice.

    :param upstream: The upstream.
    """

    def __init__(self, upstream: UpstreamId) -> None:
        super().__init__(ExchangeFailure.NOT_SENT, f"Upstream {upstream} is leaving")


class ResponseHead(Struct, frozen=True, kw_only=True):
    """The head of a response; the body is read from the connection.

    :param status: HTTP status.
    :param reason: Reason phrase.
    :param headers: Header fields.
    :param is_close_delimited: Whether only the end of the connection marks the end of the body.
    :param keep_alive: Whether the upstream allows another request on the connection.
    """

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    is_close_delimited: bool
    keep_alive: bool


@final
class HttpConnection:
    """A connection that carries requests one after another.

    :param transport: Transport of the socket.
    :param protocol: Parser of the responses.
    :param opened: Time when the connection was opened.
    :param read_buffer_bytes: Amount of unread data above which reading is paused.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        protocol: ResponseProtocol,
        opened: Millis,
        read_buffer_bytes: int = READ_BUFFER_BYTES,
    ) -> None:
        self._read_buffer_bytes = read_buffer_bytes
        self._transport = transport
        self._protocol = protocol
        self._body: StreamReader | None = None
        self._response_head: ResponseHead | None = None
        self._closed = False
        self._kept_bytes = 0
        """Size of the parts of a body that are kept until it is complete."""
        self.last_used = opened
        self.used = False
        self.history = ConnectionHistory()

    @property
    def is_reusable(self) -> bool:
        """Whether it can carry another request: it is open and no unsolicited data has arrived."""
        return (
            self._protocol.is_connected()
            and not self._protocol.should_close
            and not self._protocol.has_unsolicited
            and not self.history.is_last
            and (self._response_head is None or self._response_head.keep_alive)
        )

    @property
    def _head(self) -> ResponseHead:
        assert self._response_head is not None
        return self._response_head

    @property
    def _announced_length(self) -> int | None:
        """Length of the body that the peer has announced; ``None`` if there is none."""
        text = self._head.headers.get("Content-Length", "")
        return int(text) if text.isdecimal() else None

    def has_unread_input(self) -> bool:
        """Return whether bytes or the end of the connection have arrived and were not read yet."""
        return bool(find_unread([self._transport]))

    @property
    def is_open(self) -> bool:
        """Whether the connection is still open."""
        return self._protocol.is_connected()

    def send(self, *, method: str, head: bytes, body: bytes) -> None:
        """Send a request.

        :param method: HTTP method, which determines whether the response has a body.
        :param head: Complete head, including the empty line at the end.
        :param body: Body; may be empty.
        :raises ExchangeError: If the connection had already ended.
        """
        if not self._protocol.is_connected():
            raise ExchangeError(ExchangeFailure.NOT_SENT, "The connection had ended")
        self._protocol.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=self._read_buffer_bytes,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._protocol.is_head_due = True
        self.used = True
        self._transport.write(head + body if body else head)

    async def receive(self) -> ResponseHead:
        """Wait for the head of the next response, skipping interim (1xx) responses.

        :raises ExchangeError: If the connection ends, the received data is not an HTTP response,
            the status is invalid or the peer switches to another protocol.
        """
        try:
            message, payload = await self._protocol.read()
            while is_interim(message):
                message, payload = await self._protocol.read()
        except (ClientError, HttpProcessingError, OSError) as error:
            self._check_space()
            detail = f"No answer came ({type(error).__name__})"
            raise ExchangeError(ExchangeFailure.LOST, detail) from error
        if fault := find_status_fault(message):
            raise ExchangeError(ExchangeFailure.LOST, fault)
        self._count_read()
        self._protocol.body = payload
        self._protocol.is_head_due = False
        self._body = payload
        self._response_head = _build_response_head(message)
        return self._response_head

    async def read_some(self) -> bytes:
        """Return the next bytes of the body; empty at the end of the body.

        :raises ExchangeError: If the body is incomplete.
        """
        assert self._body is not None
        assert self._response_head is not None
        try:
            chunk = await self._body.readany()
        except (ClientError, HttpProcessingError, OSError) as error:
            self._check_space()
            detail = f"The answer broke off ({type(error).__name__})"
            raise ExchangeError(ExchangeFailure.LOST, detail) from error
        self._check_space()
        self._count_read()
        is_truncated = self._closed or (
            self._response_head.is_close_delimited and self._protocol.was_reset
        )
        if not chunk and is_truncated:
            raise ExchangeError(ExchangeFailure.LOST, "The answer broke off")
        return chunk

    async def read_all(self) -> bytes:
        """Return the complete body.

        :raises ExchangeError: If the body is incomplete, longer than ``MAX_BODY_BYTES``, or the
            host has not enough memory for it.
        """
        self._check_length()
        chunks: list[bytes] = []
        length = self._announced_length
        is_trusted = length is not None and length <= MAX_TRUSTED_LENGTH
        self._protocol.holding.has_known_length = is_trusted
        try:
            while chunk := await self.read_some():
                chunks.append(chunk)
                self._keep(len(chunk))
            return b"".join(chunks)
        finally:
            # The frame may outlive an error.
            chunks.clear()
            self._kept_bytes = 0
            self._protocol.holding.has_known_length = False
            self._protocol.holding.resize(0)

    async def skip_body(self) -> None:
        """Read and discard a body.

        :raises ExchangeError: If the body is incomplete, or longer than ``MAX_BODY_BYTES``.
        """
        self._check_length()
        size = 0
        while chunk := await self.read_some():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise ExchangeError(ExchangeFailure.TOO_LARGE, "The answer is longer than allowed")

    def expect_another_head(self) -> None:
        """Record that another response is due after the body that is read."""
        self._protocol.is_head_due = True

    def _check_length(self) -> None:
        """Raise an error if the announced length of the body is longer than allowed."""
        length = self._announced_length
        if length is not None and length > MAX_BODY_BYTES:
            raise ExchangeError(ExchangeFailure.TOO_LARGE, "The answer is longer than allowed")

    def _keep(self, size: int) -> None:
        """Count a part of the body that is kept."""
        self._kept_bytes += size
        if self._kept_bytes > MAX_BODY_BYTES:
            raise ExchangeError(ExchangeFailure.TOO_LARGE, "The answer is longer than allowed")
        self._protocol.holding.resize(self._kept_bytes)

    def _count_read(self) -> None:
        """Record that everything that has arrived was read."""
        self._protocol.unread_bytes = 0
        self._protocol.holding.resize(self._kept_bytes)

    def _check_space(self) -> None:
        """Raise an error if the host had not enough memory for the response."""
        if self._protocol.holding.has_failed:
            raise ExchangeError(
                ExchangeFailure.TOO_LARGE, "The memory is used up by answers without an end"
            )

    def end_exchange(self) -> None:
        """Record that the response was read completely."""
        if self.is_reusable and self._protocol.has_partial_head():
            self._protocol.has_unsolicited = True

    def close(self) -> None:
        """Close the connection immediately, so that the upstream stops working on the request."""
        self._closed = True
        self._transport.abort()


def count_open_connections() -> int:
    """Return the number of connections of the process to upstreams and the store."""
    return ResponseProtocol.open_connections


async def open_connection(
    *,
    address: str,
    timeout_ms: int,
    now: Millis,
    dead_peer_timeout_s: int = DEAD_PEER_TIMEOUT_S,
    source_ip: str = "",
    read_buffer_bytes: int = READ_BUFFER_BYTES,
    account: ByteAccount | None = None,
) -> HttpConnection:
    """Open a connection.

    :param address: IP address and port.
    :param timeout_ms: Maximum time to wait, in milliseconds.
    :param now: Current time.
    :param dead_peer_timeout_s: Seconds without an acknowledgement after which the peer counts as
        dead.
    :param source_ip: Local IP address; empty lets the system choose.
    :param read_buffer_bytes: Amount of unread data above which reading is paused.
    :param account: Account of the bytes that the host holds; ``None`` for none.
    :raises ExchangeError: If no connection is established in time.
    """
    connecting = asyncio.create_task(_connect(address, source_ip, account))
    try:
        transport, protocol = await finish_within(connecting, timeout_ms=timeout_ms)
    except asyncio.CancelledError:
        connecting.add_done_callback(_close_connected)
        raise
    except (OSError, TimeoutError, ValueError) as error:
        detail = f"No connection to {address} ({type(error).__name__})"
        raise ExchangeError(ExchangeFailure.NOT_SENT, detail) from error
    enable_tcp_keepalive(transport, timeout_s=dead_peer_timeout_s)
    if read_buffer_bytes != READ_BUFFER_BYTES:
        # asyncio otherwise receives up to 256 KB at once, however little may be buffered.
        transport.max_size = 2 * read_buffer_bytes  # type: ignore[attr-defined]
    return HttpConnection(
        transport=transport, protocol=protocol, opened=now, read_buffer_bytes=read_buffer_bytes
    )


async def _connect(
    address: str, source_ip: str, account: ByteAccount | None
) -> tuple[asyncio.Transport, ResponseProtocol]:
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    return await loop.create_connection(
        lambda: ResponseProtocol(loop, account, address),
        host.strip("[]"),
        int(port),
        local_addr=(source_ip, 0) if source_ip else None,
    )


def _close_connected(
    connecting: asyncio.Task[tuple[asyncio.Transport, ResponseProtocol]],
) -> None:
    """Close a connection that was made as the wait for it was cancelled."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[0].abort()


def _build_response_head(message: RawResponseMessage) -> ResponseHead:
    is_self_delimited = message.chunked or "Content-Length" in message.headers
    has_no_body = message.code in NO_BODY_STATUSES
    return ResponseHead(
        status=message.code,
        reason=message.reason or "",
        headers=message.headers,
        is_close_delimited=not is_self_delimited and not has_no_body,
        keep_alive=(is_self_delimited or has_no_body) and not message.should_close,
    )
