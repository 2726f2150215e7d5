"""A TCP relay in the process of the test that can freeze, delay or cut its connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self
from typing import final

from standins._common import LOOPBACK
from tanagerscale.core import Clock

CHUNK_BYTES = 65_536


@final
class TcpRelay:
    """Forwards bytes between clients and one target.

    :param target: Address to which connections are forwarded, as ``IP:PORT``.
    """

    def __init__(self, *, target: str) -> None:
        self._target_host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._clock = Clock()
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._delay_ms = 0
        self._refusing = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Listening address of the relay, as ``IP:PORT``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self) -> Self:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening and abort all connections."""
        assert self._server is not None
        self._server.close()
        self.resume()
        self.cut()
        await asyncio.gather(*self._tasks)

    def freeze(self) -> None:
        """Stop forwarding and keep all connections open."""
        self._unfrozen.clear()

    def resume(self) -> None:
        """Resume forwarding, beginning with the bytes held back."""
        self._unfrozen.set()

    def delay(self, delay_ms: int) -> None:
        """Delay each chunk.

        :param delay_ms: Delay in milliseconds; 0 forwards at once.
        """
        self._delay_ms = delay_ms

    def cut(self) -> None:
        """Abort all connections; new connections are still accepted."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def refuse(self, *, refusing: bool = True) -> None:
        """Abort each new connection at once, or accept new connections again.

        :param refusing: Whether new connections are aborted.
        """
        self._refusing = refusing

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._refusing:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            target_streams = await asyncio.open_connection(self._target_host, self._target_port)
            self._writers.update((writer, target_streams[1]))
            try:
                await asyncio.gather(
                    self._forward(reader, target_streams[1]),
                    self._forward(target_streams[0], writer),
                )
            finally:
                self._writers.difference_update((writer, target_streams[1]))
                target_streams[1].close()
        writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self._delay_ms:
                    await self._clock.sleep(self._delay_ms)
                await self._unfrozen.wait()
                writer.write(chunk)
                await writer.drain()
        # A frozen connection must not forward the end of the stream either.
        await self._unfrozen.wait()
        writer.close()
