"""Parser of the responses on one connection, which counts what has arrived."""

from __future__ import annotations

import asyncio
from typing import ClassVar
from typing import Final
from typing import final

from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from tanagerscale.policy import ByteAccount

MAX_UNREAD_BYTES: Final = 4 * 1024 * 1024
"""Bytes that may arrive before any of them is a head or a part of a body, such as interim heads or
a chunk size without an end. Reading is paused long before by unread parts of a body."""


@final
class ResponseProtocol(ResponseHandler):
    """aiohttp's response parser that also records whether the connection was reset."""

    open_connections: ClassVar[int] = 0
    """Connections of the process, whose descriptors are limited together."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        account: ByteAccount | None = None,
        peer: str = "",
    ) -> None:
        super().__init__(loop)
        account = account or ByteAccount()
        self.holding = account.open(peer=peer, on_failure=self._abort)
        """Bytes that are counted against the memory of the host."""
        self.was_reset = False
        self.unread_bytes = 0
        """Bytes that have arrived since the last head or part of a body was read."""
        self.has_unsolicited = False
        """Whether bytes have arrived that belong to no answer that is due."""
        self.is_head_due = False
        """Whether the head of an answer is due."""
        self.body: StreamReader | None = None
        """Body of the answer that is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        ResponseProtocol.open_connections += 1
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and end a connection whose bytes are no response."""
        self.unread_bytes += len(data)
        self.holding.add(len(data))
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self._abort()
        if self.unread_bytes > MAX_UNREAD_BYTES or self.holding.has_failed:
            return
        # aiohttp also calls this without bytes, to continue with those that it holds.
        if data and not self.is_head_due and (self.body is None or self.body.is_eof()):
            self.has_unsolicited = True
            return
        super().data_received(data)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def has_partial_head(self) -> bool:
        """Return whether the beginning of a further answer came together with the last one.

        The parser must be given no more bytes after this.
        """
        if self._parser is None:
            return False
        try:
            return self._parser.feed_eof() is not None
        except HttpProcessingError:
            return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection ended.

        A body without a length is complete only after a clean end.
        """
        ResponseProtocol.open_connections -= 1
        self.was_reset = exc is not None
        self.holding.resize(0)
        super().connection_lost(exc)
