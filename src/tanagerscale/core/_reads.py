"""Reads with a timeout that event loops which stand still do not shorten."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import TypeVar

from tanagerscale.core._clock import MS_PER_SECOND

_Read = TypeVar("_Read")

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
