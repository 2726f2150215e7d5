"""Which of two entries of an upstream is newer, whatever order the store delivers them in."""

from __future__ import annotations

from enum import Enum
from enum import unique

from tanagerscale.membership._roster_records import UpstreamRecord
from tanagerscale.store import StoreRevision
from tanagerscale.store import era_of
from tanagerscale.upstreams import UpstreamEntry


@unique
class EntryOrder(Enum):
    """How an entry relates to what is known of its upstream."""

    NEWER = "newer"
    """It is the newest state."""
    OVERTAKEN = "overtaken"
    """The upstream has written another one since."""
    RETURNED = "returned"
    """The store has come back from a copy that was made before the entry was removed."""
    EARLIER_START = "earlier-start"
    """It is of an earlier incarnation."""
    UNKNOWN_START = "unknown-start"
    """It doesn't tell which incarnation it is of, though an earlier entry did."""


def order_entry(
    entry: UpstreamEntry, revision: StoreRevision, known: UpstreamRecord | None
) -> EntryOrder:
    """Return how an entry relates to what is known of its upstream.

    :param entry: The entry.
    :param revision: Store revision of the entry.
    :param known: The record of the upstream's current incarnation, if there is one.
    """
    if known is None:
        return EntryOrder.NEWER
    if entry.upstream == known.entry.upstream:
        return _order_in_incarnation(entry, revision, known)
    if entry.started_ms >= known.entry.started_ms:
        return EntryOrder.NEWER
    return EntryOrder.EARLIER_START if entry.started_ms else EntryOrder.UNKNOWN_START


def _order_in_incarnation(
    entry: UpstreamEntry, revision: StoreRevision, known: UpstreamRecord
) -> EntryOrder:
    is_numbered = entry.sequence > 0 and known.entry.sequence > 0
    if not is_numbered or entry.sequence > known.entry.sequence:
        return EntryOrder.NEWER
    if known.missing_since is not None and era_of(revision) > era_of(known.missing_at):
        return EntryOrder.RETURNED
    is_same = entry.sequence == known.entry.sequence
    return EntryOrder.NEWER if is_same else EntryOrder.OVERTAKEN
