"""When refused callers come back."""

from __future__ import annotations

from random import Random

from msgspec.structs import replace

from tanagerscale.core import Problem

RETURN_SPREAD_MS = 4_000
"""Callers that one failure refused together come back over this time.

The header Retry-After is in whole seconds, so this is several of them.
"""


def spread_return(*, problem: Problem, rng: Random) -> Problem:
    """Return a problem whose Retry-After, if it has one, differs from caller to caller.

    :param problem: A refusal that others may get at the same moment.
    :param rng: Draws the time that is added.
    """
    if problem.retry_after_ms is None:
        return problem
    later = problem.retry_after_ms + rng.randrange(RETURN_SPREAD_MS)
    return replace(problem, retry_after_ms=later)
