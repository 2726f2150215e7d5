"""WebSocket connections whose received frames are counted against the memory of the host."""

from __future__ import annotations

import asyncio
from typing import ClassVar
from typing import Final

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.frames import Frame
from websockets.http11 import Request
from websockets.http11 import Response

from tanagerscale.policy import ByteAccount
from tanagerscale.policy import Holding

FRAME_COPIES: Final = 4
"""A frame is copied as its buffer grows, when it is complete and to remove its mask."""


class CountedConnection(Connection):
    """A connection that counts what has arrived since its messages were last read.

    Control frames are counted as well, as their answers wait for a peer that may not read.
    """

    account: ClassVar[ByteAccount]
    """Account of what the host holds."""
    _holding: Holding
    _is_discarding = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to count."""
        host, *_ = transport.get_extra_info("peername") or ("",)
        self._holding = self.account.open(peer=host, on_failure=self._give_up)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count bytes and parse them, unless the connection has been given up."""
        self._holding.add(len(data) * FRAME_COPIES)
        if not self._holding.has_failed:
            super().data_received(data)
        if self._is_discarding:
            self.record_read()

    def process_event(self, event: Frame | Request | Response) -> None:
        """Process a frame, unless messages are discarded."""
        if not self._is_discarding:
            super().process_event(event)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting."""
        super().connection_lost(exc)
        # The connection is part of a reference cycle, which may be collected much later.
        if self.protocol.parser_exc is not None:
            self.protocol.parser_exc.with_traceback(None)
        self.protocol.reader.buffer.clear()
        self._holding.resize(0)

    def record_read(self) -> None:
        """Count anew after a message has been read."""
        unread = sum(len(frame.data) for frame in self.recv_messages.frames.queue)
        self._holding.resize((len(self.protocol.reader.buffer) + unread) * FRAME_COPIES)

    def discard(self) -> None:
        """Drop the messages that are not read yet and those that follow."""
        self._is_discarding = True
        self.recv_messages.frames.queue.clear()
        self.recv_messages.maybe_resume()
        self.record_read()

    def _give_up(self) -> None:
        self.transport.abort()
        self.discard()


def make_connection_types(
    account: ByteAccount,
) -> tuple[type[ServerConnection], type[ClientConnection]]:
    """Return the types of accepted and of outgoing connections.

    :param account: Account of what the host holds.
    """
    members = {"account": account}
    return (
        type("CountedServerConnection", (CountedConnection, ServerConnection), members),
        type("CountedClientConnection", (CountedConnection, ClientConnection), members),
    )
