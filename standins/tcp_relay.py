"""A TCP relay inside the test's own process, which can freeze, delay or cut its links."""

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
    """Passes bytes between its callers and one target.

    :param target: Address behind the relay, as ``IP:PORT``.
    """

    def __init__(self, *, target: str) -> None:
        self._target_host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._clock = Clock()
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._delay_ms = 0
        self._refusing = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where the relay listens, as ``IP:PORT``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop to listen and cut all links."""
        assert self._server is not None
        self._server.close()
        self.thaw()
        self.cut()
        await asyncio.gather(*self._tasks)

    def freeze(self) -> None:
        """Pass nothing on, but keep all links open."""
        self._flowing.clear()

    def thaw(self) -> None:
        """Pass on what waited, and all that follows."""
        self._flowing.set()

    def delay(self, delay_ms: int) -> None:
        """Pass each chunk on late.

        :param delay_ms: How late, in milliseconds.
        """
        self._delay_ms = delay_ms

    def cut(self) -> None:
        """Break all links at once; new ones are taken."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def refuse(self, *, refusing: bool = True) -> None:
        """Break new links at once, or take them again.

        :param refusing: Which.
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
            far = await asyncio.open_connection(self._target_host, self._target_port)
            self._writers.update((writer, far[1]))
            try:
                await asyncio.gather(self._pump(reader, far[1]), self._pump(far[0], writer))
            finally:
                self._writers.difference_update((writer, far[1]))
                far[1].close()
        writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self._delay_ms:
                    await self._clock.sleep(self._delay_ms)
                await self._flowing.wait()
                writer.write(chunk)
                await writer.drain()
        # A frozen link must not even tell its far side that the near one is gone.
        await self._flowing.wait()
        writer.close()
