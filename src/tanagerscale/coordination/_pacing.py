"""Limits the fraction of time that repeated work takes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from typing import final

from tanagerscale.core import MS_PER_SECOND


@final
class Pacing:
    """Spaces repeated work, so that it takes a limited fraction of the time of its event loop.

    Workload: a decider evaluates its data after each change. When changes come faster than it can
    evaluate them, it would do nothing else, and hosts that ask it would take it for dead.

    :param max_share: Fraction of the time that the work may take, above 0 and up to 1.
    :param now_s: Returns the current time in seconds.
    """

    def __init__(self, *, max_share: float, now_s: Callable[[], float] | None = None) -> None:
        self._max_share = max_share
        self._now_s = now_s or _loop_time_s
        self._next_at_s = 0.0

    def delay_ms(self) -> float:
        """Return the time until the work may be done again; 0 if it may be done now."""
        return max(self._next_at_s - self._now_s(), 0.0) * MS_PER_SECOND

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Measure the work in the context, which determines when it may be repeated."""
        began_at_s = self._now_s()
        try:
            yield
        finally:
            self._next_at_s = began_at_s + (self._now_s() - began_at_s) / self._max_share


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()
