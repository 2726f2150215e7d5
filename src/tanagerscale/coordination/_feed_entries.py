"""Entries as feeds keep and send them, and what a feed knows of the store."""

from __future__ import annotations

from enum import Enum
from enum import unique

from msgspec import Struct

from tanagerscale.generated.messages import ListedItem
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRevision


@unique
class IgnoredChange(Enum):
    """Why a feed ignored entries."""

    KNOWN = "known"
    """They are of the revision that is known."""
    OLDER = "older"
    """They are of an older revision."""
    GAP = "gap"
    """Changes before them are missing, so they were requested again."""
    OTHER_SOURCE = "other-source"
    """They came from a host that is not the source."""


class StoreView(Struct, frozen=True, kw_only=True):
    """State of the store as observed by one host.

    :param is_watched: Whether its watch is answered.
    :param is_answered: Whether its other calls are answered.
    """

    is_watched: bool = False
    is_answered: bool = True

    @property
    def is_current(self) -> bool:
        """Whether the store delivers changes."""
        return self.is_watched and self.is_answered


class EntryChange(Struct, frozen=True, kw_only=True):
    """A change of one entry; without an entry it is a deletion."""

    key: str
    entry: StoreEntry | None


def to_item(entry: StoreEntry) -> ListedItem:
    """Return the form of an entry in messages."""
    try:
        value = entry.value.decode()
    except UnicodeDecodeError:
        # No host can decode it, and none can decode an empty value.
        value = ""
    return ListedItem(key=entry.key, value=value, revision=entry.mod_revision)


def to_entry(item: ListedItem) -> StoreEntry:
    """Return the entry of a message."""
    revision = StoreRevision(item.revision)
    return StoreEntry(
        key=item.key,
        value=item.value.encode(),
        create_revision=revision,
        mod_revision=revision,
    )
