"""Requests of this host that no decider has been told of yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId

STEP_MS: Final = 100
"""Requests within this time are counted together."""


@final
class RequestCounts:
    """Counts the recent requests for each service.

    :param max_age_ms: Returns the age in milliseconds at which a request is forgotten.
    :param clock: Source of the current time.
    """

    def __init__(self, *, max_age_ms: Callable[[], int], clock: Clock) -> None:
        self._max_age_ms = max_age_ms
        self._clock = clock
        self._counts: dict[ServiceId, deque[tuple[Millis, int]]] = {}

    def add(self, service: ServiceId) -> None:
        """Count a request."""
        now = self._clock.now()
        counts = self._counts.setdefault(service, deque())
        if counts and now - counts[-1][0] < STEP_MS:
            counts[-1] = counts[-1][0], counts[-1][1] + 1
            return
        counts.append((now, 1))
        self._drop_old(counts)

    def take(self, service: ServiceId) -> int:
        """Return the number of recent requests for a service, and begin to count anew."""
        counts = self._counts.pop(service, deque())
        self._drop_old(counts)
        return sum(count for _, count in counts)

    def _drop_old(self, counts: deque[tuple[Millis, int]]) -> None:
        oldest = self._clock.now() - self._max_age_ms()
        while counts and counts[0][0] < oldest:
            counts.popleft()
