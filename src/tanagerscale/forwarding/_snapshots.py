"""Copies of runs and the engines on which runs resume from them."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.upstreams import UpstreamEntry


class ResumeTarget(Struct, frozen=True, kw_only=True):
    """Where a run resumes.

    :param entry: Engine that resumes the run.
    :param holder: Engine whose copy of the KV cache is used.
    :param copy: Id of that copy.
    :param is_stopped: Whether the holder has stopped the run, so that it can take it back.
    :param is_permitted: Whether the rate limit of the engine already counts the request.
    """

    entry: UpstreamEntry
    holder: UpstreamEntry
    copy: str
    is_stopped: bool = False
    is_permitted: bool = False


class Snapshot(Struct, frozen=True, kw_only=True):
    """A copy of a run's KV cache on another engine at one point in time.

    :param entry: Engine that holds the copy.
    :param copy: Id of the copy.
    :param taken: Time at which the copy was taken.
    :param holder: Engine whose address identifies the copy in a resume request; ``None`` for the
        engine that runs the copied run.
    """

    entry: UpstreamEntry
    copy: str
    taken: Millis
    holder: UpstreamEntry | None = None
