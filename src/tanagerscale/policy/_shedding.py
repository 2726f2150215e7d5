"""Which newcomers to refuse under overload, and when they should come back."""

from __future__ import annotations

import heapq
import math
from random import Random
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.policy._types import PlacementRequest

RATE_WINDOW_MS = 10_000.0
"""Time constant over which the rate of service is averaged."""

RATE_KNOWN_AFTER_MS = 5_000.0
"""How long to watch before the rate is trusted."""

RETURN_SHARE = 0.1
"""Part of the rate of service that is promised to callers who were told to come back."""

LONGEST_RETURN_MS = 900_000.0
RETURN_SPREAD = 0.05
PROMISE_LASTS_MS = 30_000.0
"""How long after its time a promise is kept."""

MOST_PROMISES = 512
"""Most promises kept for one account and class."""


@final
class ServiceRate:
    """Output tokens a second over the last seconds, exponentially averaged."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated: Millis | None = None
        self._since: Millis | None = None

    def add(self, tokens: int, *, now: Millis) -> None:
        """Count tokens that were made."""
        if self._since is None or self._updated is None:
            self._since = self._updated = now
        self._decay(now)
        self._sum += tokens

    def per_ms(self, *, now: Millis) -> float | None:
        """Return tokens a millisecond, or ``None`` while it is not known."""
        if self._since is None or now - self._since < RATE_KNOWN_AFTER_MS:
            return None
        self._decay(now)
        seen = 1.0 - math.exp(-(now - self._since) / RATE_WINDOW_MS)
        return max(self._sum / (RATE_WINDOW_MS * seen), 1e-3)

    def _decay(self, now: Millis) -> None:
        assert self._updated is not None
        self._sum *= math.exp(-(now - self._updated) / RATE_WINDOW_MS)
        self._updated = now


@final
class ReturnBook:
    """Spreads the return of shed callers and keeps what it promised them.

    A caller that comes back is known by account and class, so it needs no ticket.

    :param rng: Spreads returns a little, so that they do not come in step.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._next = 0.0
        self._promises: dict[tuple[str, str], list[int]] = {}

    def book(
        self, *, request: PlacementRequest, tokens: float, wait_ms: float, rate: float, now: Millis
    ) -> int:
        """Promise a caller a time to come back.

        :param tokens: Expected length of its answer.
        :param wait_ms: Forecast wait of the queue as it is.
        :param rate: Tokens a millisecond.
        :returns: Milliseconds to stay away.
        """
        step = tokens / (rate * RETURN_SHARE)
        self._next = max(self._next, now + wait_ms) + step
        after = min(self._next - now, LONGEST_RETURN_MS)
        after *= 1.0 + self._rng.uniform(0.0, RETURN_SPREAD)
        told = math.ceil(after / MS_PER_SECOND) * MS_PER_SECOND
        promises = self._promises.setdefault((request.account, request.request_class), [])
        if len(promises) < MOST_PROMISES:
            heapq.heappush(promises, now + told)
        return told

    def redeem(self, *, request: PlacementRequest, now: Millis) -> bool:
        """Return whether a newcomer was promised a place; a promise is kept once."""
        promises = self._promises.get((request.account, request.request_class))
        while promises and promises[0] + PROMISE_LASTS_MS < now:
            heapq.heappop(promises)
        if not promises or promises[0] > now:
            return False
        heapq.heappop(promises)
        return True
