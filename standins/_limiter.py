"""A token bucket."""

from __future__ import annotations

from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock


@final
class Limiter:
    """Lets through so many calls a second, and as many at once.

    :param per_second: The rate; 0 means no limit.
    :param clock: The time it counts by.
    """

    def __init__(self, *, per_second: float, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._tokens = per_second
        self._filled_at: int | None = None

    def take(self) -> bool:
        """Take one token; false when there is none."""
        if not self._per_second:
            return True
        now = self._clock.now()
        elapsed = 0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        gained = elapsed * self._per_second / MS_PER_SECOND
        self._tokens = min(self._per_second, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
