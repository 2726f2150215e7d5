"""What the mesh asks of the network."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from enum import IntEnum
from enum import unique
from typing import Protocol
from typing import TypeAlias


@unique
class CloseReason(IntEnum):
    """Why a connection between hosts ended; the values are WebSocket close codes."""

    NORMAL = 1000
    BROKEN = 1006
    """The network ended it; this value is never sent."""
    TOO_LARGE = 1009
    VERSION = 4001
    MALFORMED = 4002
    DUPLICATE = 4003
    """The two hosts have another connection, which they keep."""
    SILENT = 4004
    STALE_INCARNATION = 4005
    SELF = 4006
    """The host has called itself."""
    HANDSHAKE = 4007
    """The other side did not introduce itself in time."""


REMEDIES = {
    CloseReason.NORMAL: "The host has stopped.",
    CloseReason.BROKEN: "The network ended the connection; it will be made again.",
    CloseReason.TOO_LARGE: "The frame is too large; update the older host.",
    CloseReason.VERSION: "The hosts share no protocol version; update the older one.",
    CloseReason.MALFORMED: "The frame breaks the protocol; let only hosts reach this address.",
    CloseReason.DUPLICATE: "The hosts are connected already.",
    CloseReason.SILENT: "Nothing was heard for too long; the connection will be made again.",
    CloseReason.STALE_INCARNATION: "A newer process of this host is known; stop the older one.",
    CloseReason.SELF: "The host called itself; the address needs no seed.",
    CloseReason.HANDSHAKE: "No introduction came in time; the connection may be made again.",
}
"""What the other side is told, by reason; short enough for a close frame."""


class LinkClosedError(Exception):
    """The connection has ended.

    :param reason: Why, as far as the other side or the network told.
    """

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(REMEDIES[reason])
        self.reason = reason


class Link(Protocol):
    """One connection that carries whole frames in order."""

    async def send(self, frame: bytes) -> None:
        """Send a frame, waiting while the network is slow.

        :raises LinkClosedError: When the connection has ended.
        """

    async def receive(self) -> bytes:
        """Wait for the next frame.

        :raises LinkClosedError: When the connection has ended.
        """

    async def close(self, *, reason: CloseReason) -> None:
        """End the connection and tell the other side why; idempotent."""


Accept: TypeAlias = Callable[[Link], Awaitable[None]]
"""Serves one accepted connection until it ends."""


class Transport(Protocol):
    """Makes and accepts connections."""

    async def listen(self, *, address: str, accept: Accept) -> str:
        """Accept connections and return the address bound."""

    async def connect(self, *, address: str) -> Link:
        """Make a connection.

        :raises LinkClosedError: When nobody answers there in time.
        """

    async def stop(self) -> None:
        """Accept no more connections and end the accepted ones."""
