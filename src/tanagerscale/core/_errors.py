"""Errors reported to callers; each detail states what the caller can do."""

from __future__ import annotations

from enum import Enum
from enum import unique

from msgspec import Struct


@unique
class Execution(Enum):
    """Whether a request ran on an upstream, as far as is known."""

    NOT_EXECUTED = "not-executed"
    EXECUTED = "executed"
    UNKNOWN = "unknown"


@unique
class ProblemKind(Enum):
    """Kinds of final error responses.

    The value is the last component of the problem's ``type`` URI (RFC 9457).
    """

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    LIMITED = "limited"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_FAILED = "upstream-failed"
    GENERATION_LOST = "generation-lost"
    QUARANTINED = "quarantined"
    STORE_UNAVAILABLE = "store-unavailable"
    IN_PROGRESS = "in-progress"
    KEY_REUSED = "key-reused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    CURSOR_REFUSED = "cursor-refused"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


class Problem(Struct, frozen=True, kw_only=True):
    """Final response that reports a failure.

    :param kind: Kind of failure.
    :param detail: One sentence that states what the caller can do.
    :param execution: Whether the request ran on an upstream.
    :param retry_after_ms: Delay before a retry, in milliseconds; ``None`` if a retry does not help.
    """

    kind: ProblemKind
    detail: str
    execution: Execution
    retry_after_ms: int | None = None
