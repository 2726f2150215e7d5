"""Connections of callers whose sockets tests control."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import socket

SMALL_RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 1 << 20


@dataclass(kw_only=True)
class CallerConnection:
    """Connection of a caller.

    :param socket: Its socket, which does not block.
    :param data: Everything that has been read.
    """

    socket: socket.socket
    data: bytearray = field(default_factory=bytearray)

    @property
    def is_refused(self) -> bool:
        """Whether the host has refused the request, and promised that it does not run."""
        return self.data.startswith(b"HTTP/1.1 503 ")

    @classmethod
    async def open(cls, address: tuple[str, int], *, has_small_buffer: bool) -> CallerConnection:
        """Connect to a host or a relay."""
        created = socket.socket()
        if has_small_buffer:
            created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        created.setblocking(False)
        await asyncio.get_running_loop().sock_connect(created, address)
        return cls(socket=created)

    async def send(self, data: bytes) -> None:
        """Send all bytes."""
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read(self, size: int = READ_BYTES) -> bytes:
        """Return the next bytes; none at the end of the connection.

        :param size: Maximum number of bytes.
        """
        chunk = await asyncio.get_running_loop().sock_recv(self.socket, size)
        self.data += chunk
        return chunk

    async def read_until(self, text: bytes) -> None:
        """Read until a text has come, a refusal, or the end of the connection."""
        while text not in self.data and not self.is_refused and await self.read():
            pass

    async def read_all(self) -> None:
        """Read until the connection ends, or the request has been refused."""
        while not self.is_refused and await self.read():
            pass
