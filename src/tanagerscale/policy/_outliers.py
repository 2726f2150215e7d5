"""Detects upstreams that fail much more often than their siblings, so that they can be ejected.

Workload: one of a few upstreams fails some of its requests, or answers them late or not at all,
while its health check passes. Only the requests show the fault, and each host sees just a few per
second, so hosts add up their observations.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import comb
from typing import Final

from msgspec import Struct

from tanagerscale.core import UpstreamId

MIN_BAD_ANSWERS: Final = 3
"""Minimum number of bad answers before an upstream may be ejected."""

MIN_BAD_RATE: Final = 0.2
"""Minimum part of an upstream's answers that must be bad. Below it, the upstream costs less than
the load that its ejection adds to its siblings."""

PRIOR_BAD_RATE: Final = 0.1
PRIOR_ANSWERS: Final = 10
"""Until more is known of its siblings, they count as having given ten answers of which one was bad:
healthy upstreams fail up to one request in ten on their own."""

SIGNIFICANCE_LEVEL: Final = 0.01
"""Probability, for an upstream as good as its siblings, of so many bad answers in a window, below
which it is ejected: one window in a hundred. With 25 answers in a window this takes nine or more
bad ones, with four answers three."""

EJECTION_DIVISOR: Final = 3
"""At most one in this many upstreams of a service is ejected, since the capacity of the others is
unknown."""


class Tally(Struct, frozen=True, kw_only=True):
    """Number of good and bad answers of one upstream within a time window.

    :param good: Complete answers that came in time.
    :param bad: Errors, incomplete and missing answers, and those that came late.
    """

    good: int = 0
    bad: int = 0

    @property
    def rate(self) -> float:
        """Part of the answers that were bad; 0 if there were none."""
        return self.bad / max(self.good + self.bad, 1)

    def plus(self, other: Tally) -> Tally:
        """Return the sum of two tallies."""
        return Tally(good=self.good + other.good, bad=self.bad + other.bad)


def is_outlier(*, own: Tally, others: Tally) -> bool:
    """Return whether an upstream should be ejected.

    :param own: Answers of the upstream.
    :param others: Answers of all its siblings.
    """
    if own.bad < MIN_BAD_ANSWERS or own.rate < MIN_BAD_RATE:
        return False
    answers = others.good + others.bad
    expected_rate = (others.bad + PRIOR_BAD_RATE * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
    return (
        _binomial_tail(bad=own.bad, answers=own.good + own.bad, rate=expected_rate)
        < SIGNIFICANCE_LEVEL
    )


def _binomial_tail(*, bad: int, answers: int, rate: float) -> float:
    """Return the probability of at least this many bad answers when each is bad at a given rate."""
    return sum(
        comb(answers, count) * rate**count * (1 - rate) ** (answers - count)
        for count in range(bad, answers + 1)
    )


def select_ejections(candidates: Mapping[UpstreamId, float], *, siblings: int) -> set[UpstreamId]:
    """Return the upstreams to eject, limited to a part of the service, the worst first.

    :param candidates: Upstreams that should be ejected, each with its rate of bad answers.
    :param siblings: Number of upstreams of the service.
    """
    worst_first = sorted(candidates, key=lambda upstream: (-candidates[upstream], upstream))
    return set(worst_first[: siblings // EJECTION_DIVISOR])
