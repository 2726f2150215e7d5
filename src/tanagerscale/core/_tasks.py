"""Logging of the call stacks of asyncio tasks, to diagnose a process that makes no progress."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from tanagerscale.core._log import get_logger

MAX_LOGGED_GROUPS = 100
"""Limits the output of one dump; a host has a few dozen distinct call stacks."""

_log = get_logger(part="tasks")


class TaskStackGroup(Struct, frozen=True, kw_only=True):
    """Tasks suspended at the same call stack.

    :param stack: Call stack, outermost frame first, each frame as ``name:line``.
    :param count: Number of tasks.
    """

    stack: tuple[str, ...]
    count: int


def group_tasks_by_stack(tasks: Iterable[asyncio.Task[Any]]) -> list[TaskStackGroup]:
    """Group tasks by call stack, largest group first.

    :param tasks: Tasks that are not done.
    """
    stacks = Counter(_call_stack(task) for task in tasks)
    return [TaskStackGroup(stack=stack, count=count) for stack, count in stacks.most_common()]


def log_tasks() -> None:
    """Log the tasks of the running event loop, one line per distinct call stack."""
    groups = group_tasks_by_stack(asyncio.all_tasks())
    for group in groups[:MAX_LOGGED_GROUPS]:
        _log.notice("Tasks waiting.", tasks=group.count, stack=" > ".join(group.stack))
    if len(groups) > MAX_LOGGED_GROUPS:
        _log.notice("Further task groups omitted.", groups=len(groups) - MAX_LOGGED_GROUPS)


def _call_stack(task: asyncio.Task[Any]) -> tuple[str, ...]:
    """Return the frames of a task down to the first object without one, such as a future."""
    frames = []
    awaited: Any = task.get_coro()
    while (frame := _frame(awaited)) is not None:
        frames.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        awaited = _next_awaitable(awaited)
    return tuple(frames)


def _frame(awaited: Any) -> Any:
    """Return the frame of a coroutine or generator, or ``None`` for any other object."""
    return getattr(awaited, "cr_frame", None) or getattr(awaited, "gi_frame", None)


def _next_awaitable(awaited: Any) -> Any:
    """Return the object that a suspended coroutine or generator awaits, or ``None``."""
    return getattr(awaited, "cr_await", None) or getattr(awaited, "gi_yieldfrom", None)
