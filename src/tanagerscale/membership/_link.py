"""Interface between the mesh and the network."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from enum import IntEnum
from enum import unique
from typing import Protocol
from typing import TypeAlias


@unique
class CloseReason(IntEnum):
    """Why a connection between hosts was closed; the values are WebSocket close codes."""

    NORMAL = 1000
    BROKEN = 1006
    """The network connection failed; this value is never sent."""
    TOO_LARGE = 1009
    VERSION = 4001
    MALFORMED = 4002
    DUPLICATE = 4003
    """The two hosts keep another connection instead."""
    SILENT = 4004
    STALE_INCARNATION = 4005
    SELF = 4006
    """The host connected to itself."""
    HANDSHAKE = 4007
    """The other side sent no hello in time."""


CLOSE_REASON_TEXTS = {
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
"""Texts sent to the other side in the close frame; each must fit into one."""


class LinkClosedError(Exception):
    """Raised when the connection has closed.

    :param reason: Close reason that the other side or the network reported.
    """

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(CLOSE_REASON_TEXTS[reason])
        self.reason = reason


class Link(Protocol):
    """A connection that carries whole frames in order."""

    async def send(self, frame: bytes) -> None:
        """Send a frame, waiting while the send buffer is full.

        :raises LinkClosedError: If the connection has closed.
        """

    async def receive(self) -> bytes:
        """Wait for the next frame.

        :raises LinkClosedError: If the connection has closed.
        """

    async def close(self, *, reason: CloseReason) -> None:
        """Close the connection and send the other side the reason; idempotent."""


LinkHandler: TypeAlias = Callable[[Link], Awaitable[None]]
"""Serves one accepted connection until it closes."""


class Transport(Protocol):
    """Opens and accepts connections."""

    async def listen(self, *, address: str, accept: LinkHandler) -> str:
        """Accept connections and return the bound address.

        :param address: IP address and port; port 0 chooses a free port.
        :param accept: Called with each accepted connection.
        """

    async def connect(self, *, address: str) -> Link:
        """Open a connection.

        :raises LinkClosedError: If no connection is established in time.
        """

    async def stop(self) -> None:
        """Stop accepting connections and close the accepted ones."""
