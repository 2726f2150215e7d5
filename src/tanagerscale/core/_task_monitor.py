"""Background tasks that must not end while a host runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final
from typing import final

from tanagerscale.core._clock import Clock
from tanagerscale.core._containment import record_unexpected_error

RESTART_DELAY_MS: Final = 1000
"""Pause before a task that ended with an error starts again; it bounds the work and the log lines
of one that fails each time."""


@final
class TaskMonitor:
    """Starts background tasks again that end with an error, and tells which have ended.

    :param clock: Clock for the pause before a new start.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ended: set[str] = set()

    @property
    def ended(self) -> frozenset[str]:
        """Names of the tasks that ended with an error and have not started again yet."""
        return frozenset(self._ended)

    def start(
        self, run: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> asyncio.Task[None]:
        """Start a task, and start it again whenever it ends with an error.

        :param run: Runs the task until it has nothing more to do, or is cancelled.
        :param name: Name of the task for the log, the metric and ``ended``; each has its own.
        """
        return asyncio.create_task(self.keep_running(run, name=name), name=name)

    async def keep_running(
        self, run: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> None:
        """Run a task until it returns or is cancelled, as ``start`` does."""
        while True:
            try:
                await run()
            # The error is recorded, and the task starts again whatever it was.
            except Exception as error:
                record_unexpected_error(name, error)
            else:
                return
            self._ended.add(name)
            try:
                await self._clock.sleep(RESTART_DELAY_MS)
            finally:
                self._ended.discard(name)
