"""Waits with a timeout that event loops which stand still do not shorten."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import TypeVar

from tanagerscale.core._clock import MS_PER_SECOND

_Read = TypeVar("_Read")
_Result = TypeVar("_Result")

MAX_COUNTED_MS: Final = 50
"""Longest time that one standstill of the event loop takes off the timeout of ``finish_within``."""

LATE_READ_MS: Final = 20
"""Last part of a timeout, for reading what has arrived while the event loop stood still. Timers are
due after that before the arrived data has been read."""


async def read_within(read: Callable[[], Awaitable[_Read]], *, timeout_ms: int) -> _Read:
    """Read, and look once more for what has arrived when the timeout is due.

    :param read: Waits for data; it loses none when it is cancelled.
    :param timeout_ms: Longest wait in milliseconds.
    :raises TimeoutError: If nothing has arrived in time.
    """
    try:
        async with asyncio.timeout((timeout_ms - LATE_READ_MS) / MS_PER_SECOND):
            return await read()
    except TimeoutError:
        async with asyncio.timeout(LATE_READ_MS / MS_PER_SECOND):
            return await read()


async def finish_within(awaitable: Awaitable[_Result], *, timeout_ms: int) -> _Result:
    """Return a result that may need several steps of the event loop, and cancel what takes longer.

    Time in which the event loop stands still does not count: what has arrived meanwhile is read
    before the timeout is due.

    :param awaitable: Produces the result; cancelled if it takes longer.
    :param timeout_ms: Longest wait in milliseconds, in which the event loop runs.
    :raises TimeoutError: There is no result in time.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + timeout_ms / MS_PER_SECOND
    last_s = min(timeout_ms, LATE_READ_MS) / MS_PER_SECOND
    left_ms = timeout_ms - LATE_READ_MS
    task = asyncio.ensure_future(awaitable)
    try:
        while left_ms > 0 and not task.done():
            part_ms = min(left_ms, MAX_COUNTED_MS)
            left_ms -= part_ms
            await asyncio.wait([task], timeout=part_ms / MS_PER_SECOND)
        if not task.done():
            await asyncio.wait([task], timeout=max(due - loop.time(), last_s))
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()
