"""Listening sockets that are opened when their ports are free and closed without loss."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import errno
import socket
from typing import Final
from typing import TypeVar

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import get_logger
from tanagerscale.core import record_failed_start

ACCEPT_BACKLOG: Final = 1024
"""Connections that may wait to be accepted. When the backlog is full, the first packet of a new
connection is dropped and resent only after one second."""

ACCEPTED_AT_ONCE: Final = 32
"""Connections that one iteration of the event loop accepts, as it counts them only afterwards."""

OPEN_INTERVAL_MS: Final = 200
"""How often a port is tried that is taken; a host is ready within a second after it is free."""

TEMPORARY_ERRORS: Final = frozenset(
    (errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
)
"""Errors that end without a change of the settings."""

_Server = TypeVar("_Server")

_log = get_logger(part="listeners")


class ListenError(Exception):
    """Raised if a port can't be opened, and that can't change while the process runs."""


async def open_when_free(
    open_server: Callable[[], Awaitable[_Server]],
    *,
    part: str,
    address: str,
    interval_ms: int = OPEN_INTERVAL_MS,
) -> _Server:
    """Open a server, and try again while its port is taken.

    :param open_server: Opens the server; leaves nothing open if it raises ``OSError``.
    :param part: Name of the server, for the log and the metric.
    :param address: IP address and port, for the log.
    :param interval_ms: Time between two tries in milliseconds.
    :returns: The server.
    :raises ListenError: If the port can't be opened for a reason that stays.
    """
    tries = 0
    while True:
        try:
            return await open_server()
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise ListenError(
                    f"The address {address} of {part} can't be opened: {error}. Use an address of "
                    "this machine and a port that the process may open."
                ) from error
            tries += 1
            record_failed_start(
                part,
                "A port can't be opened; it is tried again.",
                tries=tries,
                error=error,
                address=address,
            )
        await asyncio.sleep(interval_ms / MS_PER_SECOND)


async def open_server(
    make_protocol: Callable[[], asyncio.BaseProtocol], *, address: str
) -> asyncio.Server:
    """Listen for connections.

    :param make_protocol: Returns the protocol of a connection.
    :param address: IP address and port.
    :returns: The server.
    :raises OSError: If the port can't be opened.
    """
    host, _, port = address.rpartition(":")
    listening = socket.create_server((host.strip("[]"), int(port)))
    try:
        server = await asyncio.get_running_loop().create_server(
            make_protocol, sock=listening, backlog=ACCEPTED_AT_ONCE
        )
    except BaseException:
        listening.close()
        raise
    # asyncio accepts as many connections at once as may wait.
    listening.listen(ACCEPT_BACKLOG)
    return server


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
