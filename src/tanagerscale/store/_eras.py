"""The era of a store, which rises when the store comes back from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar
from typing import final

from tanagerscale.core import get_logger

_T = TypeVar("_T")

_log = get_logger(part="store")


@final
class EraTracker:
    """Records the era that the store's answers tell, and ends waits of earlier eras."""

    def __init__(self) -> None:
        self._era = 0
        self._waits: set[asyncio.Future[None]] = set()

    @property
    def era(self) -> int:
        """The latest era known; 0 if the store tells none."""
        return self._era

    def record(self, era: int | None) -> int:
        """Record the era of an answer.

        :param era: The era; ``None`` if the answer tells none.
        :returns: The era, or the latest one if the answer tells none.
        """
        if era is None or era == self._era:
            return self._era
        if era < self._era:
            return era
        if self._era:
            _log.warning("The store has come back from a copy.", era=era, before=self._era)
        self._era = era
        for wait in self._waits:
            if not wait.done():
                wait.set_result(None)
        return era

    async def run_in(self, era: int, call: Coroutine[Any, Any, _T]) -> _T | None:
        """Run a call that ends with an era, such as a watch that waits for changes.

        A watch may go on waiting, or miss changes, when the store has given out its revision again.

        :param era: The era.
        :param call: The call; it is cancelled if a later era begins.
        :returns: The result of the call; ``None`` if a later era has begun.
        """
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waits.add(ended)
        task = asyncio.ensure_future(call)
        try:
            await asyncio.wait((task, ended), return_when=asyncio.FIRST_COMPLETED)
            return task.result() if task.done() and self._era <= era else None
        finally:
            self._waits.discard(ended)
            task.cancel()
