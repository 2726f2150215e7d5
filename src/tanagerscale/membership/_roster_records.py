"""State that the roster keeps of each incarnation of an upstream."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.store import StoreRevision
from tanagerscale.upstreams import UpstreamEntry


class UpstreamRecord(Struct, kw_only=True):
    """State of one incarnation of an upstream.

    :param entry: Its latest entry.
    :param revision: Store revision of that entry.
    :param warmup_until: When its warm-up ends.
    :param missing_since: Since when its entry is missing or unreadable; ``None`` if it is neither.
    :param missing_at: Store revision at which it was found missing or unreadable.
    :param is_readable: Whether the entry in the store could be decoded.
    """

    entry: UpstreamEntry
    revision: StoreRevision
    warmup_until: Millis
    missing_since: Millis | None = None
    missing_at: StoreRevision = StoreRevision(0)
    is_readable: bool = True
