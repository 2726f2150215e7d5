"""Time in milliseconds."""

from __future__ import annotations

import asyncio
import time
from typing import NewType
from typing import final

Millis = NewType("Millis", int)
"""A point of the monotonic clock, or a duration, in milliseconds."""

WallMillis = NewType("WallMillis", int)
"""Milliseconds since 1970, comparable between hosts only to within their clocks' error."""

MS_PER_SECOND = 1000


@final
class Clock:
    """The time of the running event loop, so that tests may run it virtually.

    :param wall_offset_ms: Added to the wall clock; tests use it to skew a host.
    :param virtual_epoch_ms: When given, the wall clock starts there with the loop's time 0 and
        follows it, so that virtual time moves both.
    """

    def __init__(self, *, wall_offset_ms: int = 0, virtual_epoch_ms: int | None = None) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._virtual_epoch_ms = virtual_epoch_ms

    def now(self) -> Millis:
        """Return the monotonic time of the running loop in milliseconds."""
        return Millis(int(asyncio.get_running_loop().time() * MS_PER_SECOND))

    def wall(self) -> WallMillis:
        """Return the time since 1970 in milliseconds."""
        if self._virtual_epoch_ms is not None:
            return WallMillis(self._virtual_epoch_ms + self.now() + self._wall_offset_ms)
        return WallMillis(int(time.time() * MS_PER_SECOND) + self._wall_offset_ms)

    async def sleep(self, duration: int) -> None:
        """Wait without blocking the loop.

        :param duration: Milliseconds; zero or less only lets other tasks run.
        """
        await asyncio.sleep(max(duration, 0) / MS_PER_SECOND)
