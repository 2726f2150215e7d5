"""Measures the service rate and schedules the retries of callers shed under overload."""

from __future__ import annotations

import heapq
import math
from random import Random
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.policy._types import PlacementRequest

RATE_WINDOW_MS = 10_000.0
"""Time constant of the moving average of the service rate."""

MIN_RATE_OBSERVATION_MS = 5_000.0
"""Minimum time of observation before the rate is used."""

MIN_TOKENS_PER_MS = 1e-3
"""Lower bound of the rate, which keeps forecast waits finite when no tokens are generated."""

RESERVED_RATE_SHARE = 0.1
"""Fraction of the service rate that is reserved for the retries of shed callers."""

MAX_RETRY_AFTER_MS = 900_000.0
RETRY_AFTER_JITTER = 0.05
RESERVATION_LIFETIME_MS = 30_000.0
"""How long after its retry time a reservation is valid."""

MAX_RESERVATIONS_PER_KEY = 512
"""Maximum number of reservations for one account and request class."""

MAX_RESERVATION_KEYS = 4_096
"""Maximum number of pairs of account and request class with reservations; callers choose class
names, so the number must be bounded."""


@final
class ServiceRate:
    """Exponential moving average of the output tokens per millisecond while requests are queued.

    The rate is measured only while there is a queue: the output of idle engines says nothing about
    their capacity, and would cause the first burst after a quiet night to be shed.
    """

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated = Millis(0)
        self._since: Millis | None = None

    def set_queued(self, *, queued: bool, now: Millis) -> None:
        """Record whether requests are queued, which starts or ends the measurement."""
        if not queued:
            self._since = None
        elif self._since is None:
            self._since = self._updated = now
            self._sum = 0.0

    def add(self, tokens: int, *, now: Millis) -> None:
        """Count generated tokens."""
        if self._since is not None:
            self._decay(now)
            self._sum += tokens

    def per_ms(self, *, now: Millis) -> float | None:
        """Return the rate, or ``None`` while it has not been observed for long enough."""
        if self._since is None or now - self._since < MIN_RATE_OBSERVATION_MS:
            return None
        self._decay(now)
        observed_share = 1.0 - math.exp(-(now - self._since) / RATE_WINDOW_MS)
        return max(self._sum / (RATE_WINDOW_MS * observed_share), MIN_TOKENS_PER_MS)

    def _decay(self, now: Millis) -> None:
        self._sum *= math.exp(-(now - self._updated) / RATE_WINDOW_MS)
        self._updated = now


@final
class RetryReservations:
    """Spreads the retries of shed callers over time and reserves capacity for them.

    A retry is matched by account and request class, so callers need no token.

    :param rng: Random number generator for the jitter that keeps retries from being synchronized.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._next = 0.0
        self._reservations: dict[tuple[str, str], list[int]] = {}

    def reserve(
        self, *, request: PlacementRequest, tokens: float, wait_ms: float, rate: float, now: Millis
    ) -> int:
        """Reserve a time at which a shed caller should retry.

        :param tokens: Expected length of its answer.
        :param wait_ms: Forecast wait in the current queue.
        :param rate: Service rate, in tokens per millisecond.
        :returns: Time until the retry in milliseconds, rounded up to whole seconds.
        """
        step = tokens / (rate * RESERVED_RATE_SHARE)
        self._next = max(self._next, now + wait_ms) + step
        delay_ms = min(self._next - now, MAX_RETRY_AFTER_MS)
        delay_ms *= 1.0 + self._rng.uniform(0.0, RETRY_AFTER_JITTER)
        retry_after_ms = math.ceil(delay_ms / MS_PER_SECOND) * MS_PER_SECOND
        self._add_reservation(request, now + retry_after_ms)
        return retry_after_ms

    def _add_reservation(self, request: PlacementRequest, return_at: int) -> None:
        key = (request.account, request.request_class)
        if key not in self._reservations and len(self._reservations) >= MAX_RESERVATION_KEYS:
            return
        reservations = self._reservations.setdefault(key, [])
        if len(reservations) < MAX_RESERVATIONS_PER_KEY:
            heapq.heappush(reservations, return_at)

    def redeem(self, *, request: PlacementRequest, now: Millis) -> bool:
        """Return whether a new request has a reservation, which is then used up."""
        key = (request.account, request.request_class)
        reservations = self._reservations.get(key, [])
        while reservations and reservations[0] + RESERVATION_LIFETIME_MS < now:
            heapq.heappop(reservations)
        is_redeemed = bool(reservations) and reservations[0] <= now
        if is_redeemed:
            heapq.heappop(reservations)
        if not reservations:
            self._reservations.pop(key, None)
        return is_redeemed
