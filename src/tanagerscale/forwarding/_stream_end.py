"""Whether a stream has ended, and what shows it."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class BodyEnd(Enum):
    """How the body of an engine's answer has ended."""

    FRAMED = "framing"
    """Its length or its last chunk shows that it is complete."""
    CLOSED = "close"
    """The engine has closed the connection between two events, and the body has neither."""
    BROKEN = "broken"
    """It is truncated, or was given up."""


@unique
class StopState(Enum):
    """What this host knows of the orders to stop a run at its last engine."""

    NONE = "none"
    """No order has been sent."""
    PENDING = "pending"
    """The engine has not answered yet."""
    LATE = "late"
    """The engine has not answered in time."""
    STOPPED = "stopped"
    """The engine has stopped the run and named a copy of it."""
    NOT_RUNNING = "not-running"
    """The engine had no such run any more, which has ended by itself."""
    REJECTED = "rejected"
    """The engine has not stopped the run."""
    LOST = "lost"
    """No answer tells whether the engine has stopped the run."""


@unique
class StreamEnd(Enum):
    """What the end of an engine's part of a stream is."""

    WHOLE = "whole"
    """The run has ended by itself."""
    STOPPED = "stopped"
    """The engine has stopped the run, which continues elsewhere."""
    BROKEN_OFF = "broken-off"
    """The engine has not sent all events of the run."""
    UNKNOWN = "unknown"
    """Nothing shows which of these it is."""
