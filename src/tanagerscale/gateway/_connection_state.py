"""Measures what is left on a caller's connection."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from typing import Final

from tanagerscale.forwarding import ConnectionEnd
from tanagerscale.forwarding import ConnectionState

SIOCOUTQNSD: Final = 0x894B
"""Linux request for the bytes in the send buffer that have not been sent, which neither ``fcntl``
nor ``termios`` names. ``TIOCOUTQ`` also counts those that the peer has yet to acknowledge."""


def measure_connection(
    transport: asyncio.BaseTransport | None,
    *,
    end: ConnectionEnd = ConnectionEnd.OPEN,
    errno: int = 0,
) -> ConnectionState:
    """Return the state of a connection; sizes that are not known are 0.

    :param transport: Transport of the connection; ``None`` if it has none any more.
    :param end: How the connection has ended.
    :param errno: Number of the error that ended it; 0 for none.
    """
    if not isinstance(transport, asyncio.Transport):
        return ConnectionState(end=end, errno=errno)
    buffered = transport.get_write_buffer_size()
    return ConnectionState(
        unread_response_bytes=buffered + _query_socket(transport, termios.TIOCOUTQ),
        unsent_response_bytes=buffered + _query_socket(transport, SIOCOUTQNSD),
        unread_request_bytes=_query_socket(transport, termios.FIONREAD),
        end=end,
        errno=errno,
    )


def _query_socket(transport: asyncio.Transport, request: int) -> int:
    """Return the size of one of the kernel's queues of a socket."""
    connection = transport.get_extra_info("socket")
    try:
        size = fcntl.ioctl(connection.fileno(), request, bytes(4))
    except (AttributeError, OSError, ValueError):
        return 0
    return int.from_bytes(size, sys.byteorder)
