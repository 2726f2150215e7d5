"""Problems returned to callers whose requests cannot be placed."""

from __future__ import annotations

from tanagerscale.core import Execution
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.policy import PlacementRequest

NO_UPSTREAM_RETRY_MS = 1000


def no_upstream(request: PlacementRequest) -> Problem:
    """Return the problem for a request whose model has no engine that accepts new work."""
    return Problem(
        kind=ProblemKind.NO_UPSTREAM,
        detail=f"No engine for model {request.model} takes work now; come back later.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=NO_UPSTREAM_RETRY_MS,
    )


def overloaded(*, retry_after_ms: int) -> Problem:
    """Return the problem for a request that was shed.

    :param retry_after_ms: Time in milliseconds after which a retry may succeed.
    """
    return Problem(
        kind=ProblemKind.OVERLOADED,
        detail="The engines are full; come back after the time in Retry-After.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=retry_after_ms,
    )


def superseded() -> Problem:
    """Return the problem for a request that its caller has repeated over another connection."""
    return Problem(
        kind=ProblemKind.IN_PROGRESS,
        detail="This request goes on over another connection; read its answer there.",
        execution=Execution.UNKNOWN,
    )
