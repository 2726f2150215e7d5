"""Running coroutines in virtual time where a test is not itself a coroutine."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import looptime

T = TypeVar("T")


def new_virtual_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose time passes only when all tasks wait."""
    loop = looptime.new_event_loop(start=0)
    assert isinstance(loop, asyncio.AbstractEventLoop)
    return loop


def run_virtually(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end and cancel what it leaves behind."""
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(work)
    finally:
        close_loop(loop)


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all tasks and close the loop."""
    # A task that is cancelled may start others to clean up.
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()
