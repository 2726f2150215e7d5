"""Problems that are returned when a claim is not granted."""

from __future__ import annotations

from tanagerscale.core import Execution
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind


def store_unavailable(*, retry_after_ms: int) -> Problem:
    """Build the problem for a call that was not sent because the claim could not be written."""
    return Problem(
        kind=ProblemKind.STORE_UNAVAILABLE,
        detail="This attempt was not run, since it could not be claimed; repeat it with the same "
        "Idempotency-Key, because an earlier attempt may have run.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=retry_after_ms,
    )


def call_not_run(*, retry_after_ms: int) -> Problem:
    """Build the problem for a repeated call that waited for a call that was not run."""
    return Problem(
        kind=ProblemKind.UPSTREAM_FAILED,
        detail="The call with this Idempotency-Key was not run; repeat it with the same key.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=retry_after_ms,
    )


def too_late(*, retry_after_ms: int) -> Problem:
    """Build the problem for a claim that was too old to be used when it was granted."""
    return Problem(
        kind=ProblemKind.TIMEOUT,
        detail="The call was not run, since claiming it took too long; repeat it with the same "
        "Idempotency-Key.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=retry_after_ms,
    )


def key_reused() -> Problem:
    """Build the problem for a key that was claimed by a different request."""
    return Problem(
        kind=ProblemKind.KEY_REUSED,
        detail="This Idempotency-Key was used for a different request; send a new key.",
        execution=Execution.NOT_EXECUTED,
    )


def outcome_unknown() -> Problem:
    """Build the problem for a claimed call whose outcome will not become known."""
    return Problem(
        kind=ProblemKind.OUTCOME_UNKNOWN,
        detail="Whether the call with this Idempotency-Key ran is not known and it will not be "
        "sent again; look at the service before sending it with a new key.",
        execution=Execution.UNKNOWN,
    )


def answer_not_recorded() -> Problem:
    """Build the problem for a completed call whose answer was too large to record."""
    return Problem(
        kind=ProblemKind.OUTCOME_UNKNOWN,
        detail="The call with this Idempotency-Key ran, but its answer was too large to keep; "
        "look at the service for the result.",
        execution=Execution.EXECUTED,
    )
