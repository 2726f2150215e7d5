"""When to try again and when to leave an upstream alone."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import final

from tanagerscale.core import Millis

RETRY_RATIO = 0.1
"""Retries for each request that was sent."""

RETRY_RESERVE = 10.0
"""Most retries that quiet times may save up."""

BREAKER_FAILURES = 3
BREAKER_OPEN_MS = 1_000
BREAKER_LONGEST_MS = 30_000


@final
class RetryBudget:
    """Keeps retries to a tenth of the work, so that failures don't multiply load.

    :param ratio: Retries granted for each request.
    :param reserve: Most retries saved up; also what a new budget starts with.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def on_request(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_spend(self) -> bool:
        """Take one retry from the budget.

        :returns: Whether there was one; without it the caller gets its error.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@unique
class BreakerState(Enum):
    """Whether calls may pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@final
class CircuitBreaker:
    """Stops calls to an upstream that fails, and lets one call at a time try it again.

    :param failures: Failures in a row that open it.
    :param open_ms: How long it stays open at first; doubled each time the trial fails.
    :param longest_ms: How long it stays open at most.
    """

    def __init__(
        self,
        *,
        failures: int = BREAKER_FAILURES,
        open_ms: int = BREAKER_OPEN_MS,
        longest_ms: int = BREAKER_LONGEST_MS,
    ) -> None:
        self._limit = failures
        self._first_open_ms = open_ms
        self._longest_ms = longest_ms
        self._open_ms = open_ms
        self._failures = 0
        self._opened: Millis | None = None
        self._trial: Millis | None = None

    def state(self, *, now: Millis) -> BreakerState:
        """Return whether calls may pass at a time."""
        if self._opened is None:
            return BreakerState.CLOSED
        waited = now - self._opened >= self._open_ms
        return BreakerState.HALF_OPEN if waited else BreakerState.OPEN

    def allow(self, *, now: Millis) -> bool:
        """Return whether a call may be made now; when half open only one may, and is counted.

        A trial whose outcome is never reported is forgotten after the time it stays open.
        """
        state = self.state(now=now)
        if state is not BreakerState.HALF_OPEN:
            return state is BreakerState.CLOSED
        if self._trial is not None and now - self._trial < self._open_ms:
            return False
        self._trial = now
        return True

    def on_success(self) -> None:
        """Record a call that worked."""
        self._failures = 0
        self._opened = None
        self._trial = None
        self._open_ms = self._first_open_ms

    def on_failure(self, *, now: Millis) -> None:
        """Record a call that failed."""
        if self._opened is not None:
            if self._trial is not None:
                self._open_ms = min(self._open_ms * 2, self._longest_ms)
                self._opened = now
                self._trial = None
            return
        self._failures += 1
        if self._failures >= self._limit:
            self._opened = now
