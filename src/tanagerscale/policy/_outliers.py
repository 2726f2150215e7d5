"""Which upstream does so much worse than its siblings that it is left alone for a while.

The load it answers: one of a few upstreams fails part of its requests, answers them late or not at
all, while its health check is good. What shows it is the requests alone, a few a second at each
host, so hosts add up what they saw.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import comb
from typing import Final

from msgspec import Struct

from tanagerscale.core import UpstreamId

LEAST_BAD: Final = 3
"""Answers that must be bad before anything is concluded."""

LEAST_RATE: Final = 0.2
"""Part of an upstream's answers that must be bad; a worse one costs more than its siblings' load
grows by when it is ejected."""

USUAL_RATE: Final = 0.1
USUAL_ANSWERS: Final = 10
"""Until more is known of its siblings they count as having given ten answers of which one was bad:
sound upstreams fail up to one request in ten on their own."""

CHANCE: Final = 0.01
"""An upstream is ejected when one as good as its siblings would do so badly only once in a hundred
windows. Of 25 answers in a window nine or more are bad by then, of four answers three."""

EJECTED_SHARE: Final = 3
"""At most one in so many upstreams of a service is ejected, as nobody knows what the others can
carry."""


class Tally(Struct, frozen=True, kw_only=True):
    """Answers of one upstream within a window of time.

    :param good: Those that came whole and in time.
    :param bad: Errors, broken and missing answers, and those that came late.
    """

    good: int = 0
    bad: int = 0

    @property
    def rate(self) -> float:
        """Part of the answers that were bad; 0 when there were none."""
        return self.bad / max(self.good + self.bad, 1)

    def plus(self, other: Tally) -> Tally:
        """Return both together."""
        return Tally(good=self.good + other.good, bad=self.bad + other.bad)


def is_outlier(*, own: Tally, others: Tally) -> bool:
    """Return whether an upstream should be ejected.

    :param own: Its answers.
    :param others: The answers of all its siblings.
    """
    if own.bad < LEAST_BAD or own.rate < LEAST_RATE:
        return False
    answers = others.good + others.bad
    usual = (others.bad + USUAL_RATE * USUAL_ANSWERS) / (answers + USUAL_ANSWERS)
    return _chance_of(bad=own.bad, answers=own.good + own.bad, rate=usual) < CHANCE


def _chance_of(*, bad: int, answers: int, rate: float) -> float:
    """Return how likely so many bad answers or more are when each is bad at a rate."""
    return sum(
        comb(answers, number) * rate**number * (1 - rate) ** (answers - number)
        for number in range(bad, answers + 1)
    )


def may_eject(candidates: Mapping[UpstreamId, float], *, siblings: int) -> set[UpstreamId]:
    """Return which of the upstreams that should be ejected are, the worst first.

    :param candidates: Those that should, each with its rate.
    :param siblings: How many upstreams the service has.
    """
    worst = sorted(candidates, key=lambda upstream: (-candidates[upstream], upstream))
    return set(worst[: siblings // EJECTED_SHARE])
