"""Whether the system resets a connection as its socket is closed."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

_LINGER: Final = struct.Struct("ii")


def reset_on_close(transport: asyncio.BaseTransport | None) -> None:
    """Let a connection be reset when its socket is closed, also by the end of the process.

    :param transport: Transport of the connection; ``None`` after its end.
    """
    _set_linger(transport, is_reset=True)


def close_properly(transport: asyncio.BaseTransport | None) -> None:
    """Let a connection end with what has been sent when its socket is closed.

    :param transport: Transport of the connection; ``None`` after its end.
    """
    _set_linger(transport, is_reset=False)


def _set_linger(transport: asyncio.BaseTransport | None, *, is_reset: bool) -> None:
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return
    # A linger time of 0 s resets the connection.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(is_reset, 0))
