"""A peer without a network, for exchanges in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from typing import Any
from typing import final
from unittest.mock import patch

from tanagerscale.core import Millis
from tanagerscale.upstreams import HttpConnection
from tanagerscale.upstreams import _pool
from tanagerscale.upstreams._response_protocol import ResponseProtocol
from testing._scripted_peer import Answer
from testing._scripted_peer import Late
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import decode_request

HEAD_END = b"\r\n\r\n"


@final
class MemoryConnection(asyncio.Transport):
    """The transport of a connection, and the peer behind it.

    :param number: Number of the connection, from 0.
    :param answer: Returns what is sent after a request.
    """

    def __init__(self, number: int, answer: Answer) -> None:
        super().__init__()
        self.number = number
        self._answer = answer
        self._unread = b""
        self._requests = count()
        self._is_closed = False

    def connect(self, protocol: asyncio.Protocol) -> None:
        """Connect to the client's protocol."""
        self._protocol = protocol
        protocol.connection_made(self)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Receive bytes of the client."""
        self._unread += bytes(data)
        while HEAD_END in self._unread:
            head, _, rest = self._unread.partition(HEAD_END)
            request = decode_request(head, rest, self.number, next(self._requests))
            self._unread = rest[len(request.body) :]
            self._respond(request)

    def deliver(self, data: bytes) -> None:
        """Send bytes to the client."""
        if not self._is_closed:
            self._protocol.data_received(data)

    def is_closing(self) -> bool:
        """Return whether either side has closed the connection."""
        return self._is_closed

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        """Close the connection at once."""
        self.close()

    def pause_reading(self) -> None:
        """Ignore that the client reads slowly."""

    def resume_reading(self) -> None:
        """Ignore that the client reads on."""

    def _respond(self, request: PeerRequest) -> None:
        loop = asyncio.get_running_loop()
        for part in self._answer(request):
            if isinstance(part, Late):
                loop.call_later(part.delay_s, self.deliver, part.data)
            else:
                assert isinstance(part, bytes)
                loop.call_soon(self.deliver, part)


@contextmanager
def connect_in_memory(answer: Answer) -> Iterator[list[MemoryConnection]]:
    """Have pools open connections to a peer in memory; yields the connections.

    :param answer: Returns what is sent after a request.
    """
    connections: list[MemoryConnection] = []

    async def open_connection(*, now: Millis, **_: Any) -> HttpConnection:
        transport = MemoryConnection(len(connections), answer)
        connections.append(transport)
        protocol = ResponseProtocol(asyncio.get_running_loop())
        transport.connect(protocol)
        return HttpConnection(transport=transport, protocol=protocol, opened=now)

    with patch.object(_pool, "open_connection", open_connection):
        yield connections
