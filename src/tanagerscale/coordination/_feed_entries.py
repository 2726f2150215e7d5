"""Entries as feeds keep and send them, and what a feed knows of the store."""

from __future__ import annotations

from enum import Enum
from enum import unique

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.generated.messages import ListContent
from tanagerscale.generated.messages import ListedItem
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState


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

    :param state: State of the store that its watch shows.
    :param is_answered: Whether its other calls are answered.
    """

    state: StoreState = StoreState.UNKNOWN
    is_answered: bool = True

    @property
    def is_current(self) -> bool:
        """Whether the store delivers changes."""
        return self.state is StoreState.REACHED and self.is_answered


def view_of(content: ListContent) -> StoreView:
    """Return what the sender of entries knows of the store."""
    if content.is_watched:
        state = StoreState.REACHED
    else:
        state = StoreState.LOST if content.is_lost else StoreState.UNKNOWN
    return StoreView(state=state, is_answered=content.is_answered)


def merge_views(*, own: StoreView, source: StoreView) -> StoreView:
    """Return what a host knows of the store by its own watch and from its source."""
    if own.is_current:
        return own
    if source.state is StoreState.REACHED:
        return source
    return replace(own, state=StoreState.LOST) if source.state is StoreState.LOST else own


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
