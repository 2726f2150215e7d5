"""A stream on simulated engines that close streams for several reasons."""

from __future__ import annotations

import asyncio
from typing import Final

from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from testing._moving_engines import EVENT_MS
from testing._moving_engines import Close
from testing._moving_engines import Engine
from testing._moving_host import HostStream
from testing._moving_host import MovingHost

NAMES: Final = ("x", "y", "z")


class ClosedStream:
    """A stream that has begun at one of three engines.

    :param close: How its engines close the streams of runs that they stop.
    :param is_close_delimited: Whether its engines send neither a length nor chunks.
    """

    def __init__(self, *, close: Close = Close.CLEAN, is_close_delimited: bool = True) -> None:
        self.host = MovingHost(*NAMES)
        for engine in self.host.world.engines.values():
            engine.close = close
            engine.is_close_delimited = is_close_delimited
        self.run: HostStream
        self.source: Engine
        self.target: Engine
        self.other: Engine

    async def start(self, *, after: int = 1, write_ms: int = 0) -> None:
        """Serve the stream until an engine has sent some events.

        :param after: Number of the last one.
        :param write_ms: Time that the caller takes to read an event.
        """
        self.run = await self.host.start("r")
        self.run.responder.write_ms = write_ms
        engines = dict(self.host.world.engines)
        self.source = engines.pop(self._engine_name())
        self.target, self.other = engines.values()
        await asyncio.sleep((after - 1) * EVENT_MS / 1000)

    async def move(self, *, to: Engine | None = None) -> None:
        """Order a move, and wait until an engine has the run, or the stream has ended."""
        world = self.host.world
        sent_again = world.sent_again
        self.order(MoveKind.LEAVE, to=to)
        while world.sent_again == sent_again or self.run.stream.entry is None:
            if self.run.stream.ended:
                return
            await asyncio.sleep(0.001)

    def order(self, kind: MoveKind, *, to: Engine | None = None) -> None:
        """Order a copy or a move."""
        self.host.order(self.run, to=(to or self.target).name, kind=kind)

    def crash(self, engine: Engine) -> None:
        """End an engine whose connections the system closes."""
        self.host.world.end_engine(engine.name, reason="crashes", close=Close.CLEAN)

    async def finish(self) -> None:
        """Wait for the end of the stream, and check the rules that hold for all streams."""
        await self.host.finish()
        self.host.check_ends()

    def _engine_name(self) -> UpstreamId:
        entry = self.run.stream.entry
        return UpstreamId("") if entry is None else entry.upstream
