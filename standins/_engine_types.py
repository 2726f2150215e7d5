"""Bodies of the engine stand-in's admin calls."""

from __future__ import annotations

from enum import StrEnum
from enum import unique

from msgspec import Struct

from tanagerscale.generated.upstream import EngineOrder


@unique
class StreamFaultMode(StrEnum):
    """What goes wrong with a stream of events."""

    NONE = "none"
    CUT = "cut"
    """The connection ends at an offset; the generation goes on."""
    DROP_END_MARKER = "drop_end_marker"
    """The stream ends without its last event."""
    CROSS = "cross"
    """An event of another attempt is mixed in."""
    GAP = "gap"
    """One event is left out."""
    OVERLAP = "overlap"
    """A resumed stream begins a few events too early."""
    STALL = "stall"
    """The link stays open, but nothing comes any more."""
    LATE = "late"
    """Every event comes ``delay_ms`` late."""
    GARBAGE = "garbage"
    """An event that is not JSON is mixed in."""
    OTHER_TOKEN = "other_token"
    """One token differs from what the model generated."""


class StreamFault(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/fault``.

    :param mode: What goes wrong.
    :param count: How many streams it befalls; 0 means all.
    :param at: The token offset where it happens.
    :param delay_ms: How late events come, in milliseconds.
    :param attempt_id: The attempt whose id a crossed event carries.
    """

    mode: StreamFaultMode = StreamFaultMode.NONE
    count: int = 0
    at: int = 2
    delay_ms: int = 0
    attempt_id: str = "att-of-someone-else"


class OutOfMemory(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/oom``.

    :param fail: Whether running generations fail; else they are preempted.
    """

    fail: bool = True


class Leave(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/leave``.

    :param leaving: Whether new work is refused.
    """

    leaving: bool = True


class ExecutionReport(Struct, frozen=True, kw_only=True):
    """One attempt that reached the engine.

    :param executed: Whether it ever entered the batch.
    :param posts: How often it was posted.
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

    :param tokens_generated: Tokens of all attempts together.
    :param followers: How many streams are open now.
    """

    executions: list[ExecutionReport]
    preemptions: int
    tokens_generated: int
    followers: int
    refused: dict[str, int]


class OrderReports(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/orders``: all orders in the order of arrival.

    :param carried_out: Ids of those that changed something.
    """

    orders: list[EngineOrder]
    carried_out: list[str]
    refused: list[str]
