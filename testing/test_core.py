"""Identifiers, the clock and the grouping of tasks."""

from __future__ import annotations

import asyncio

from tanagerscale.core import Clock
from tanagerscale.core import group_tasks_by_stack
from tanagerscale.core import new_id


async def test_clock_advances_when_sleeping() -> None:
    clock = Clock()
    before = clock.now()
    await clock.sleep(5)
    assert clock.now() >= before + 4


def test_new_id_differs_when_called_twice() -> None:
    assert new_id(prefix="req") != new_id(prefix="req")


async def test_tasks_are_grouped_by_call_stack_when_suspended() -> None:
    # Guards against stacks without the inner frames, which show what a task awaits.
    event = asyncio.Event()

    async def wait_inside() -> None:
        await event.wait()

    async def wait() -> None:
        await wait_inside()

    waiting = [asyncio.create_task(wait()) for _ in range(3)]
    other = asyncio.create_task(event.wait())
    await asyncio.sleep(0)
    largest, smallest = group_tasks_by_stack([other, *waiting])
    event.set()
    await asyncio.gather(other, *waiting)
    assert largest.count == 3
    names = [frame.rpartition(":")[0].rpartition(".")[2] for frame in largest.stack]
    assert names == ["wait", "wait_inside", "wait"]
    assert smallest.count == 1
