"""Token bucket rate limiter."""

from __future__ import annotations

from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock


@final
class TokenBucket:
    """Limits the rate of calls, with a burst of one second's calls.

    :param per_second: Maximum rate and burst size; 0 means no limit.
    :param clock: Source of the current time.
    """

    def __init__(self, *, per_second: float, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._tokens = per_second
        self._refilled_at_ms: int | None = None

    def try_acquire(self) -> bool:
        """Take one token.

        :returns: Whether a token was available.
        """
        if not self._per_second:
            return True
        now = self._clock.now()
        elapsed_ms = 0 if self._refilled_at_ms is None else now - self._refilled_at_ms
        self._refilled_at_ms = now
        refill = elapsed_ms * self._per_second / MS_PER_SECOND
        self._tokens = min(self._per_second, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
