"""What a host knows of the store by following it."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class StoreState(Enum):
    """State of the store as observed by a follower.

    A lost watch is none of them, since the store may answer all other calls.
    """

    UNKNOWN = "unknown"
    """Nobody follows the store, or it has not been read yet."""
    REACHED = "reached"
    """The store answers."""
    LOST = "lost"
    """The store does not answer. When it is back, entries may have expired meanwhile."""
