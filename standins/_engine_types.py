"""Bodies of the admin calls of the engine stand-in."""

from __future__ import annotations

from enum import StrEnum
from enum import unique

from msgspec import Struct

from tanagerscale.generated.upstream import EngineOrder


@unique
class StreamFaultMode(StrEnum):
    """Faults that can be injected into an event stream."""

    NONE = "none"
    CUT = "cut"
    """The connection closes at an offset; the generation continues."""
    DROP_END_MARKER = "drop_end_marker"
    """The stream ends without its last event."""
    CROSS = "cross"
    """An event of another attempt is inserted."""
    GAP = "gap"
    """One event is omitted."""
    OVERLAP = "overlap"
    """A resumed stream starts a few events too early."""
    STALL = "stall"
    """The connection stays open but sends no more events."""
    LATE = "late"
    """Every event is delayed by ``delay_ms``."""
    GARBAGE = "garbage"
    """An event that is not valid JSON is inserted."""
    OTHER_TOKEN = "other_token"
    """One token differs from the one that the model generated."""


class StreamFault(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/fault``.

    :param mode: Fault to inject.
    :param count: Number of streams affected; 0 means all.
    :param at: Token offset at which the fault occurs.
    :param delay_ms: Delay of each event with ``late``, in milliseconds.
    :param attempt_id: Attempt id in the event that ``cross`` inserts.
    """

    mode: StreamFaultMode = StreamFaultMode.NONE
    count: int = 0
    at: int = 2
    delay_ms: int = 0
    attempt_id: str = "att-of-someone-else"


class OutOfMemoryRequest(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/oom``.

    :param fail: Whether running generations end with an error; otherwise they are preempted.
    """

    fail: bool = True


class LeaveRequest(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/leave``, and of its response.

    :param leaving: Whether new requests are refused.
    """

    leaving: bool = True


class ExecutionReport(Struct, frozen=True, kw_only=True):
    """Report on one attempt that the engine accepted.

    :param attempt_id: Id of the attempt.
    :param model: Name of the requested model.
    :param tokens: Number of tokens generated.
    :param executed: Whether it has ever entered the batch.
    :param posts: Number of times it was posted.
    :param preemptions: Number of times it was preempted.
    :param finish_reason: Why it ended; empty until then.
    """

    attempt_id: str
    model: str
    tokens: int
    executed: bool
    posts: int
    preemptions: int
    finish_reason: str = ""


class ExecutionReports(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/executions``.

    :param executions: Reports on all accepted attempts.
    :param preemptions: Preemptions of all attempts together.
    :param tokens_generated: Tokens of all attempts together.
    :param followers: Number of open streams.
    :param refused: Number of refusals by kind.
    """

    executions: list[ExecutionReport]
    preemptions: int
    tokens_generated: int
    followers: int
    refused: dict[str, int]


class OrderReports(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/orders``.

    :param orders: All orders received, in the order of arrival.
    :param carried_out: Ids of the orders applied; a repeated order is listed once.
    :param refused: Ids of the orders refused because of a stale fencing number.
    """

    orders: list[EngineOrder]
    carried_out: list[str]
    refused: list[str]
