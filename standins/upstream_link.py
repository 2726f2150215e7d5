"""A TCP relay in front of one upstream that cuts off single hosts, by their source addresses."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
import contextlib
from enum import Enum
from enum import unique
from typing import Self
from typing import cast
from typing import final

from standins._common import LOOPBACK
from standins.stream_framing import reset

CHUNK_BYTES = 65_536


@unique
class CutKind(Enum):
    """What becomes of the connections of a host that is cut off."""

    RESET = "reset"
    """Connections are reset, new ones as soon as they are open."""
    SILENT = "silent"
    """Nothing gets through; what was sent arrives when the cut ends."""
    NEW_ONLY = "new-only"
    """Connections live on, and new ones are reset."""


@final
class UpstreamLink:
    """Forwards bytes between hosts and one upstream.

    :param target: Address of the upstream, as ``IP:PORT``.
    :param on_connection: Called with the source address of a host and the local port of the
        connection to the upstream that belongs to it.
    """

    def __init__(self, *, target: str, on_connection: Callable[[str, int], None]) -> None:
        self._on_connection = on_connection
        self._target_host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._cuts: dict[str, CutKind] = {}
        self._open: defaultdict[str, set[asyncio.StreamWriter]] = defaultdict(set)
        self._healed: defaultdict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Listening address, as ``IP:PORT``."""
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
        for source in list(self._cuts):
            self.heal(source)
        for writers in self._open.values():
            for writer in tuple(writers):
                writer.transport.abort()
        await asyncio.gather(*self._tasks)

    def cut(self, source: str, kind: CutKind) -> None:
        """Cut off a host.

        :param source: IP address from which it connects.
        :param kind: What becomes of its connections.
        """
        self._cuts[source] = kind
        self._healed[source].clear()
        if kind is CutKind.RESET:
            for writer in tuple(self._open[source]):
                _reset(writer)

    def heal(self, source: str) -> None:
        """End the cut of a host."""
        self._cuts.pop(source, None)
        self._healed[source].set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        source = str(writer.get_extra_info("peername")[0])
        if self._cuts.get(source) in (CutKind.RESET, CutKind.NEW_ONLY):
            _reset(writer)
            return
        with contextlib.suppress(OSError):
            target = await asyncio.open_connection(self._target_host, self._target_port)
            self._on_connection(source, target[1].get_extra_info("sockname")[1])
            self._open[source].update((writer, target[1]))
            try:
                await asyncio.gather(
                    self._forward(source, reader, target[1]),
                    self._forward(source, target[0], writer),
                )
            finally:
                self._open[source].difference_update((writer, target[1]))
                target[1].close()
        writer.close()

    async def _forward(
        self, source: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        end: Callable[[asyncio.StreamWriter], None] = asyncio.StreamWriter.close
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_for_path(source)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            end = _reset
        # A silenced connection must not forward its end either.
        await self._wait_for_path(source)
        end(writer)

    async def _wait_for_path(self, source: str) -> None:
        if self._cuts.get(source) is CutKind.SILENT:
            await self._healed[source].wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    reset(cast(asyncio.Transport, writer.transport))
