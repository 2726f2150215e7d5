"""Clocks in milliseconds."""

from __future__ import annotations

import asyncio
import time
from typing import NewType
from typing import final

Millis = NewType("Millis", int)
"""Reading of the monotonic clock, or a duration, in milliseconds."""

WallMillis = NewType("WallMillis", int)
"""Milliseconds since 1970. Values of hosts are comparable only to within their clock skew."""

MS_PER_SECOND = 1000


@final
class Clock:
    """Clock that follows the running event loop, so that tests can use virtual time.

    :param wall_offset_ms: Offset of the wall clock; tests use it to simulate clock skew.
    :param virtual_epoch_ms: Wall time at loop time 0, in milliseconds since 1970. The wall clock
        then advances with the loop's virtual time. ``None`` uses the system's wall clock.
    """

    def __init__(self, *, wall_offset_ms: int = 0, virtual_epoch_ms: int | None = None) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._virtual_epoch_ms = virtual_epoch_ms

    def now(self) -> Millis:
        """Return the monotonic time of the running event loop in milliseconds."""
        return Millis(int(asyncio.get_running_loop().time() * MS_PER_SECOND))

    def wall(self) -> WallMillis:
        """Return the wall-clock time in milliseconds since 1970."""
        if self._virtual_epoch_ms is not None:
            return WallMillis(self._virtual_epoch_ms + self.now() + self._wall_offset_ms)
        return WallMillis(int(time.time() * MS_PER_SECOND) + self._wall_offset_ms)

    async def sleep(self, duration: int) -> None:
        """Suspend the calling task without blocking the event loop.

        :param duration: Milliseconds; zero or less only yields to other tasks.
        """
        await asyncio.sleep(max(duration, 0) / MS_PER_SECOND)
