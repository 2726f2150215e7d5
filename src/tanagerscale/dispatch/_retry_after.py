"""Jitter for the Retry-After of refused callers."""

from __future__ import annotations

from random import Random

from msgspec.structs import replace

from tanagerscale.core import Problem

RETRY_AFTER_JITTER_MS = 4_000
"""Upper bound of the jitter, which spreads the retries of callers that one failure refused.

The Retry-After header has a resolution of one second, so this is several seconds.
"""


def add_retry_jitter(*, problem: Problem, rng: Random) -> Problem:
    """Return the problem with random jitter added to its Retry-After, if it has one.

    :param problem: Refusal that other callers may get at the same time.
    :param rng: Random number generator that draws the jitter.
    """
    if problem.retry_after_ms is None:
        return problem
    retry_after_ms = problem.retry_after_ms + rng.randrange(RETRY_AFTER_JITTER_MS)
    return replace(problem, retry_after_ms=retry_after_ms)
