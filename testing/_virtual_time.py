"""Runs coroutines in virtual time from tests that are not coroutines themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import looptime

T = TypeVar("T")


def new_virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose time advances only when all tasks are waiting."""
    loop = looptime.new_event_loop(start=0)
    assert isinstance(loop, asyncio.AbstractEventLoop)
    return loop


def run_virtually(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion and cancel the tasks that it leaves.

    :param coroutine: The coroutine to run.
    :returns: Its result.
    """
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        close_loop(loop)


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all tasks of an event loop and close it."""
    # A cancelled task may start further tasks to clean up.
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()
