"""Background tasks that end with an error start again, and hosts tell that they ended."""

from __future__ import annotations

import asyncio

import logbook
import pytest

from tanagerscale.core import Clock
from tanagerscale.core import TaskMonitor
from tanagerscale.core import unexpected_errors
from tanagerscale.core._task_monitor import RESTART_DELAY_MS
from tanagerscale.gateway._presence import HostPresence
from testing._cut_host import run_host
from testing._virtual_time import run_virtually

TASK = "task-of-test"


def test_task_is_reported_and_starts_again_when_it_ends_with_an_error() -> None:
    async def run() -> None:
        monitor = TaskMonitor(clock=Clock())
        before = unexpected_errors[TASK]
        starts = 0

        async def work() -> None:
            nonlocal starts
            starts += 1
            if starts <= 2:
                raise ArithmeticError("The task did not expect this.")
            await asyncio.Event().wait()

        with logbook.TestHandler().applicationbound() as logs:
            task = monitor.start(work, name=TASK)
            await asyncio.sleep(0)
            assert set(monitor.ended) == {TASK}
            (record,) = logs.records
        assert (record.level_name, record.kwargs["component"]) == ("ERROR", TASK)
        await asyncio.sleep(1.5 * RESTART_DELAY_MS / 1000)
        assert (starts, set(monitor.ended)) == (2, {TASK})
        await asyncio.sleep(RESTART_DELAY_MS / 1000)
        assert (starts, monitor.ended) == (3, frozenset())
        assert unexpected_errors[TASK] == before + 2
        assert not task.done()

    run_virtually(run())


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_task_is_not_reported_when_it_returns_or_is_cancelled(is_cancelled: bool) -> None:
    async def run() -> None:
        monitor = TaskMonitor(clock=Clock())
        before = unexpected_errors[TASK]
        starts = 0

        async def work() -> None:
            nonlocal starts
            starts += 1
            await asyncio.sleep(1)

        task = monitor.start(work, name=TASK)
        await asyncio.sleep(0.5)
        if is_cancelled:
            task.cancel()
        await asyncio.sleep(5)
        assert task.done()
        assert (starts, monitor.ended) == (1, frozenset())
        assert unexpected_errors[TASK] == before

    run_virtually(run())


# Guards against a host that takes callers although one of its background tasks has ended unnoticed.
@pytest.mark.asyncio
async def test_host_is_not_ready_while_a_background_task_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_host(monkeypatch) as running:
        host = running.platform.hosts["h1"]
        renew = HostPresence._renew
        has_failed = asyncio.Event()

        async def fail(presence: HostPresence) -> object:
            has_failed.set()
            raise ArithmeticError("The renewal did not expect this.")

        monkeypatch.setattr(HostPresence, "_renew", fail)
        async with asyncio.timeout(30):
            await has_failed.wait()
        await running.platform.wait_until(lambda: not host.ready)
        monkeypatch.setattr(HostPresence, "_renew", renew)
        await running.platform.wait_until(lambda: host.ready)
