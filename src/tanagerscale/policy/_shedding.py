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

LEAST_RATE = 1e-3
"""Tokens a millisecond; keeps waits finite when nothing is made."""

RETURN_SHARE = 0.1
"""Part of the rate of service that is promised to callers who were told to come back."""

LONGEST_RETURN_MS = 900_000.0
RETURN_SPREAD = 0.05
PROMISE_LASTS_MS = 30_000.0
"""How long after its time a promise is kept."""

MOST_PROMISES = 512
"""Most promises kept for one account and class."""

MOST_KEYS = 4_096
"""Most accounts and classes with promises; callers choose class names, so there is a bound."""


@final
class ServiceRate:
    """Output tokens a millisecond while work waits, exponentially averaged.

    It is watched only while there is a queue: what quiet engines make says nothing of what they
    could make, and would have the first burst after a quiet night refused.
    """

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated = Millis(0)
        self._since: Millis | None = None

    def watch(self, *, queued: bool, now: Millis) -> None:
        """Take in whether work waits."""
        if not queued:
            self._since = None
        elif self._since is None:
            self._since = self._updated = now
            self._sum = 0.0

    def add(self, tokens: int, *, now: Millis) -> None:
        """Count tokens that were made."""
        if self._since is not None:
            self._decay(now)
            self._sum += tokens

    def per_ms(self, *, now: Millis) -> float | None:
        """Return the rate, or ``None`` while it is not known."""
        if self._since is None or now - self._since < RATE_KNOWN_AFTER_MS:
            return None
        self._decay(now)
        seen = 1.0 - math.exp(-(now - self._since) / RATE_WINDOW_MS)
        return max(self._sum / (RATE_WINDOW_MS * seen), LEAST_RATE)

    def _decay(self, now: Millis) -> None:
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
        self._promise(request, now + told)
        return told

    def _promise(self, request: PlacementRequest, when: int) -> None:
        key = (request.account, request.request_class)
        if key not in self._promises and len(self._promises) >= MOST_KEYS:
            return
        promises = self._promises.setdefault(key, [])
        if len(promises) < MOST_PROMISES:
            heapq.heappush(promises, when)

    def redeem(self, *, request: PlacementRequest, now: Millis) -> bool:
        """Return whether a newcomer was promised a place; a promise is kept once."""
        key = (request.account, request.request_class)
        promises = self._promises.get(key, [])
        while promises and promises[0] + PROMISE_LASTS_MS < now:
            heapq.heappop(promises)
        kept = bool(promises) and promises[0] <= now
        if kept:
            heapq.heappop(promises)
        if not promises:
            self._promises.pop(key, None)
        return kept
