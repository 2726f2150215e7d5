"""Histogram of durations with a bounded relative error."""

from __future__ import annotations

import math
from typing import final

BUCKETS_PER_DOUBLING = 16
"""Number of buckets per factor of two; 16 keep the relative error of a quantile within 4.5%."""


@final
class DurationHistogram:
    """Histogram of durations in milliseconds whose size is logarithmic in the longest duration."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Number of recorded durations."""
        return self._total

    def record(self, duration_ms: float, *, count: int = 1) -> None:
        """Record a duration.

        :param duration_ms: Duration in milliseconds; negative values count as 0.
        :param count: Number of occurrences.
        """
        bucket = math.ceil(math.log2(max(duration_ms, 0.0) + 1.0) * BUCKETS_PER_DOUBLING)
        self._counts[bucket] = self._counts.get(bucket, 0) + count
        self._total += count

    def quantile(self, fraction: float) -> float:
        """Return the upper bound of the bucket that contains a quantile, in milliseconds.

        :param fraction: Fraction between 0 and 1, such as 0.99 for the 99th percentile.
        :returns: The upper bound, or 0 when nothing was recorded.
        """
        target = fraction * self._total
        seen = 0
        upper_bound = 0.0
        for bucket in sorted(self._counts):
            seen += self._counts[bucket]
            upper_bound = 2.0 ** (bucket / BUCKETS_PER_DOUBLING) - 1.0
            if seen >= target:
                break
        return upper_bound
