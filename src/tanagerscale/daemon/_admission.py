"""The door of a host: how many requests it takes, and whether it takes any."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Execution
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.dispatch import add_retry_jitter

RETRY_BUSY_MS = 1000


@final
class DoorKeeper:
    """Counts the requests inside.

    :param limit: Most requests at once.
    :param rng: Spreads the return of refused callers.
    """

    def __init__(self, *, limit: int, rng: Random) -> None:
        self._rng = rng
        self._limit = limit
        self._inside: Counter[ClientAccountId] = Counter()
        self._total = 0
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def running(self) -> int:
        """Requests inside."""
        return self._total

    def admit(self, *, account: ClientAccountId) -> Problem | None:
        """Count a request in, or return the final answer that refuses it.

        :param account: Who asks.
        """
        if self._total >= self._limit:
            return add_retry_jitter(problem=_BUSY, rng=self._rng)
        self._inside[account] += 1
        self._total += 1
        self._empty.clear()
        return None

    def leave(self, *, account: ClientAccountId) -> None:
        """Count a request out.

        :param account: Who asked.
        """
        self._inside[account] -= 1
        if not self._inside[account]:
            del self._inside[account]
        self._total -= 1
        if self._total == 0:
            self._empty.set()

    def running_of(self, *, account: ClientAccountId) -> int:
        """Return how many requests of an account are inside.

        :param account: The account.
        """
        return self._inside[account]

    async def wait_empty(self) -> None:
        """Wait until no request is inside."""
        await self._empty.wait()


_BUSY = Problem(
    kind=ProblemKind.OVERLOADED,
    detail="This host has as many requests as it takes; come back after the pause.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=RETRY_BUSY_MS,
)
