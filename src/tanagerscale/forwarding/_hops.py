"""Where a run goes on, and the copies of it."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.upstreams import UpstreamEntry


class Hop(Struct, frozen=True, kw_only=True):
    """Where a run goes on.

    :param entry: The engine that goes on with it.
    :param holder: The engine whose memory of the run is used.
    :param copy: Id of that memory.
    """

    entry: UpstreamEntry
    holder: UpstreamEntry
    copy: str


class Snapshot(Struct, frozen=True, kw_only=True):
    """A copy of a run's memory at another engine, as it was at one time.

    :param entry: The engine that holds it.
    :param copy: Its id.
    :param taken: When it was taken.
    :param holder: The engine by whose address it is asked for; ``None`` when that is the one that
        runs what was copied.
    """

    entry: UpstreamEntry
    copy: str
    taken: Millis
    holder: UpstreamEntry | None = None
