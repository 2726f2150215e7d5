"""Detects upstreams that fail much more often than their siblings, so that they can be ejected.

Workload: one of a few upstreams fails some of its requests, or responds late or not at all,
while its health check passes. Only the requests show the fault, and each host sees just a few per
second, so hosts add up their observations.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import comb
from typing import Final

from msgspec import Struct

from tanagerscale.core import UpstreamId

MIN_BAD_RESPONSES: Final = 3
"""Minimum number of bad responses before an upstream may be ejected."""

MIN_BAD_RATE: Final = 0.2
"""Minimum fraction of an upstream's responses that must be bad. Below it, the upstream costs less
than the load that its ejection adds to its siblings."""

PRIOR_BAD_RATE: Final = 0.1
PRIOR_RESPONSES: Final = 10
"""Assumed responses of an upstream's siblings until more are observed: ten, of which one was bad.
Healthy upstreams fail up to one request in ten on their own."""

SIGNIFICANCE_LEVEL: Final = 0.01
"""An upstream is ejected if one as good as its siblings would have so many bad responses in a
window with a lower probability than this: one window in a hundred. With 25 responses in a window
this takes nine or more bad ones, with four responses three."""

EJECTION_DIVISOR: Final = 3
"""At most one in this many upstreams of a service is ejected, since the capacity of the others is
unknown."""


class Tally(Struct, frozen=True, kw_only=True):
    """Number of good and bad responses of one upstream within a time window.

    :param good: Complete responses that came in time.
    :param bad: Errors, incomplete and missing responses, and those that arrived late.
    """

    good: int = 0
    bad: int = 0

    @property
    def rate(self) -> float:
        """Fraction of the responses that were bad; 0 if there were none."""
        return self.bad / max(self.good + self.bad, 1)

    def plus(self, other: Tally) -> Tally:
        """Return the sum of two tallies."""
        return Tally(good=self.good + other.good, bad=self.bad + other.bad)


def is_outlier(*, own: Tally, others: Tally) -> bool:
    """Return whether an upstream should be ejected.

    :param own: Responses of the upstream.
    :param others: Responses of all its siblings.
    """
    if own.bad < MIN_BAD_RESPONSES or own.rate < MIN_BAD_RATE:
        return False
    responses = others.good + others.bad
    expected_rate = (others.bad + PRIOR_BAD_RATE * PRIOR_RESPONSES) / (responses + PRIOR_RESPONSES)
    return (
        _binomial_tail(bad=own.bad, responses=own.good + own.bad, rate=expected_rate)
        < SIGNIFICANCE_LEVEL
    )


def _binomial_tail(*, bad: int, responses: int, rate: float) -> float:
    """Return the probability of at least this many bad responses if each is bad at a given rate."""
    return sum(
        comb(responses, count) * rate**count * (1 - rate) ** (responses - count)
        for count in range(bad, responses + 1)
    )


def select_ejections(candidates: Mapping[UpstreamId, float], *, siblings: int) -> set[UpstreamId]:
    """Return the upstreams to eject, limited to a fraction of the service, the worst first.

    :param candidates: Upstreams that should be ejected, each with its rate of bad responses.
    :param siblings: Number of upstreams of the service.
    """
    worst_first = sorted(candidates, key=lambda upstream: (-candidates[upstream], upstream))
    return set(worst_first[: siblings // EJECTION_DIVISOR])
