"""Engines that a generation is not sent to for a limited time."""

from __future__ import annotations

from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId

NOT_ADMITTED_MS = 250
"""Time until a request may be sent to an engine again to which the crash watch did not admit it.

The crash watch itself excludes the engine for longer if the request may not run there.
"""

FAILED_MS = 1000
"""Exclusion of an engine that did not run the first attempt of a request.

Must exceed the first backoff of the gate, which alone decides after the exclusion.
"""
LOST_MS = 15_000
"""Exclusion of the engine that lost the first attempt of a request.

Longer because few lost attempts are allowed, and a hanging engine loses each one.
"""
MAX_EXCLUSION_MS = 60_000

FINAL_EXCLUSION_MS = 600_000
"""Exclusion of all engines that have failed when few attempts are left for others."""


def exclusion_ms(*, first_ms: int, attempts: int) -> int:
    """Return the duration of an exclusion, which doubles with each failed attempt of the request.

    :param first_ms: Duration after the first attempt, in milliseconds.
    :param attempts: Number of failed attempts, at least one.
    """
    return min(first_ms << (attempts - 1), MAX_EXCLUSION_MS)


@final
class Exclusions:
    """Engines that are excluded for a limited time.

    :param clock: Clock that ends the exclusions.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ends: dict[UpstreamId, Millis] = {}

    @property
    def engines(self) -> frozenset[UpstreamId]:
        """Engines that are excluded now."""
        now = self._clock.now()
        return frozenset(engine for engine, end in self._ends.items() if end > now)

    @property
    def next_end_s(self) -> float | None:
        """Loop time in seconds at which the first exclusion ends; ``None`` if there are none."""
        now = self._clock.now()
        end = min((end for end in self._ends.values() if end > now), default=None)
        # Add one millisecond because the clock truncates to whole milliseconds.
        return None if end is None else (end + 1) / MS_PER_SECOND

    def add(self, engine: UpstreamId, *, duration_ms: int) -> None:
        """Exclude an engine from now on.

        :param engine: The engine.
        :param duration_ms: Duration of the exclusion in milliseconds.
        """
        self._ends[engine] = Millis(self._clock.now() + duration_ms)

    def extend(self, *, duration_ms: int) -> None:
        """Exclude all engines that were ever added from now on.

        :param duration_ms: Duration of the exclusions in milliseconds.
        """
        for engine in self._ends:
            self.add(engine, duration_ms=duration_ms)

    def clear(self) -> None:
        """End all exclusions."""
        self._ends.clear()
