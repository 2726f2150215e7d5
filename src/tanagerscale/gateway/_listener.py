"""Listening sockets that are closed without losing connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket
from typing import Final

from tanagerscale.core import get_logger

ACCEPT_BACKLOG: Final = 1024
"""Connections that may wait to be accepted. When the backlog is full, the first packet of a new
connection is dropped and resent only after one second."""

_log = get_logger(part="listeners")


async def close_listener(
    listener: asyncio.Server, *, make_protocol: Callable[[], asyncio.BaseProtocol]
) -> None:
    """Stop listening after all connections that wait have been accepted.

    The system resets connections that wait as the socket is closed, and their requests with them.

    :param listener: Server that accepts the connections.
    :param make_protocol: Returns the protocol of a connection.
    """
    loop = asyncio.get_running_loop()
    waiting = [one.dup() for one in listener.sockets]
    for one in listener.sockets:
        loop.remove_reader(one.fileno())
    # Connections that the event loop has accepted are attached to the server meanwhile, which is
    # possible only before it is closed.
    await asyncio.sleep(0)
    listener.close()
    for one in waiting:
        with one:
            await _accept_waiting(one, make_protocol)
    # The server counts a connection from the iteration after it was attached.
    await asyncio.sleep(0)


async def _accept_waiting(
    listening: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]
) -> None:
    loop = asyncio.get_running_loop()
    for _ in range(ACCEPT_BACKLOG):
        try:
            connection, _address = listening.accept()
        except BlockingIOError:
            return
        except OSError as error:
            _log.warning("A connection that waits could not be accepted.", reason=str(error))
            return
        connection.setblocking(False)
        await loop.connect_accepted_socket(make_protocol, connection)
