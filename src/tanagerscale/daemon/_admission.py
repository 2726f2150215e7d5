"""Admission of caller requests up to the concurrency limit of the host."""

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

OVERLOADED_RETRY_AFTER_MS = 1000


@final
class RequestAdmission:
    """Admits requests up to a limit and counts those in progress.

    :param limit: Maximum number of concurrent requests on this host.
    :param rng: Random number generator used to jitter the retry time sent to rejected callers.
    """

    def __init__(self, *, limit: int, rng: Random) -> None:
        self._rng = rng
        self._limit = limit
        self._running_by_account: Counter[ClientAccountId] = Counter()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    def admit(self, *, account: ClientAccountId) -> Problem | None:
        """Admit a request, or return the problem to reject it with.

        :param account: Client account that sent the request.
        :returns: ``None`` if the request was admitted. The caller must then call ``release``.
        """
        if self._running >= self._limit:
            return add_retry_jitter(problem=_BUSY, rng=self._rng)
        self._running_by_account[account] += 1
        self._running += 1
        self._idle.clear()
        return None

    def release(self, *, account: ClientAccountId) -> None:
        """Release the slot of an admitted request.

        :param account: Client account that sent the request.
        """
        self._running_by_account[account] -= 1
        if not self._running_by_account[account]:
            del self._running_by_account[account]
        self._running -= 1
        if self._running == 0:
            self._idle.set()

    def count_running(self, *, account: ClientAccountId) -> int:
        """Return the number of requests in progress for a client account.

        :param account: Client account to count requests for.
        """
        return self._running_by_account[account]

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()


_BUSY = Problem(
    kind=ProblemKind.OVERLOADED,
    detail="This host has as many requests as it takes; come back after the pause.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=OVERLOADED_RETRY_AFTER_MS,
)
