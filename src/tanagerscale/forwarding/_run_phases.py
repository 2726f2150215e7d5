"""How far a streaming request has come."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class RunPhase(Enum):
    """How far a streaming request has come."""

    WAITING = "waiting"
    """No engine has accepted it."""
    PROCESSING = "processing"
    """An engine has accepted it and has written no event."""
    ANSWERING = "answering"
    """An engine writes its answer."""
    STOPPING = "stopping"
    """Its engine is being asked to stop it, or has stopped it and its last events still arrive."""
    BETWEEN_ENGINES = "between-engines"
    """Its engine has stopped or broken off, and no other one has accepted it yet."""
