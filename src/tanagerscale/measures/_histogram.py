"""A histogram of durations with a bounded relative error."""

from __future__ import annotations

import math
from typing import final

BUCKETS_PER_DOUBLING = 16
"""Sixteen buckets a doubling keep a quantile within 4.5%."""


@final
class GapHistogram:
    """Counts durations in milliseconds; its size grows with their logarithm only."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Return how many durations were recorded."""
        return self._total

    def record(self, duration_ms: float, *, count: int = 1) -> None:
        """Count a duration.

        :param duration_ms: Milliseconds.
        :param count: How often it occurred.
        """
        bucket = math.ceil(math.log2(max(duration_ms, 0.0) + 1.0) * BUCKETS_PER_DOUBLING)
        self._counts[bucket] = self._counts.get(bucket, 0) + count
        self._total += count

    def quantile(self, part: float) -> float:
        """Return the upper edge of the bucket that holds a quantile, in milliseconds.

        :param part: Between 0 and 1.
        :returns: 0 when nothing was recorded.
        """
        wanted = part * self._total
        seen = 0
        edge = 0.0
        for bucket in sorted(self._counts):
            seen += self._counts[bucket]
            edge = 2.0 ** (bucket / BUCKETS_PER_DOUBLING) - 1.0
            if seen >= wanted:
                break
        return edge
