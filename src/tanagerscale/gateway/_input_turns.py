"""Turns of connections whose input takes long to decode."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import final


@final
class InputTurns:
    """Runs one step of one connection in each iteration of the event loop.

    Requests on other connections are handled between two steps.
    """

    def __init__(self) -> None:
        self._steps: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    @property
    def is_busy(self) -> bool:
        """Whether a step waits."""
        return bool(self._steps)

    def add(self, step: Callable[[], None]) -> None:
        """Run a step after those that wait.

        :param step: Decodes some input, and is added again if there is more.
        """
        self._steps.append(step)
        self._schedule()

    def _schedule(self) -> None:
        if self._steps and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        step = self._steps.popleft()
        try:
            step()
        finally:
            self._schedule()
