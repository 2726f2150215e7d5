"""Input that has arrived on sockets and was not read by the event loop yet."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import select


def find_unread(transports: Iterable[asyncio.Transport]) -> set[asyncio.Transport]:
    """Return the transports with input that the event loop has yet to read.

    An event loop that stood still has not seen what arrived meanwhile, so what it has read does not
    tell that a connection is idle.

    :param transports: Transports of open connections. Those that have no socket, or whose reading
        is paused, are left out.
    :returns: Transports on which bytes, or the end of the connection, have arrived.
    """
    poller = select.poll()
    by_descriptor: dict[int, asyncio.Transport] = {}
    for transport in transports:
        connected = transport.get_extra_info("socket")
        if connected is None or not transport.is_reading():
            continue
        descriptor = connected.fileno()
        by_descriptor[descriptor] = transport
        poller.register(descriptor, select.POLLIN)
    return {by_descriptor[descriptor] for descriptor, _ in poller.poll(0)}
