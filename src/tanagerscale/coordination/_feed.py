"""Entries of the store, read by few hosts and told on to all others.

The load it answers: engines come and go every few seconds before hundreds of hosts, and each host
that watches the store makes a call for each change. So hosts that coordinate watch; the others hear
from one of these what it read, and of another one when that knows more.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import Protocol
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import ListContent
from tanagerscale.generated.messages import ListedItem
from tanagerscale.generated.messages import ListRequest
from tanagerscale.generated.messages import ListTopic
from tanagerscale.membership import Message
from tanagerscale.store import PrefixListener
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch

KEPT_CHANGES: Final = 200
"""Changes that are kept for hosts that ask for what they missed; more than a minute's worth where
five engines come and go each three seconds. Hosts that missed more get all entries."""

BEHIND_MS: Final = 300
"""How long another host may know more before it is asked; what is on its way takes some
milliseconds."""

_log = get_logger(part="feed")


class _StoreView(Struct, frozen=True, kw_only=True):
    """How the store looks from one host.

    :param is_watched: Whether its watch is answered.
    :param is_answered: Whether its other calls are.
    """

    is_watched: bool = False
    is_answered: bool = True

    @property
    def is_current(self) -> bool:
        """Whether the store tells of changes."""
        return self.is_watched and self.is_answered


class FeedListener(PrefixListener, Protocol):
    """Uses the entries of one topic."""

    def on_calls(self, *, answered: bool) -> None:
        """Note that other calls to the store fail, or are answered again."""


class _Change(Struct, frozen=True, kw_only=True):
    """A change of one entry; without an entry it is gone."""

    key: str
    entry: StoreEntry | None


@final
class ListFeed:
    """Keeps the entries, wherever they come from, and tells those that ask.

    It stands between what follows the store and what uses the entries, and lets nothing through
    that is older than what is known.

    :param topic: Which entries these are.
    :param listener: Uses the entries.
    :param tell: Sends a message to a host; returns whether it is connected.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        topic: ListTopic,
        listener: FeedListener,
        tell: Callable[[HostId, Message], bool],
        clock: Clock,
    ) -> None:
        self._topic = topic
        self._listener = listener
        self._tell = tell
        self._clock = clock
        self._entries: dict[str, StoreEntry] = {}
        self._changes: OrderedDict[StoreRevision, list[_Change]] = OrderedDict()
        self._oldest = StoreRevision(0)
        """Changes after this revision are kept."""
        self._reached = StoreRevision(0)
        self._own = _StoreView()
        self._told = _StoreView()
        """What the source says of the store."""
        self._view = _StoreView()
        """What the listener was told."""
        self._subscribers: set[HostId] = set()
        self._source: HostId | None = None
        self._behind_since: Millis | None = None

    @property
    def reached(self) -> StoreRevision:
        """Revision of the store up to which the entries are known; 0 before any is."""
        return self._reached

    @property
    def source(self) -> HostId | None:
        """The host that tells this one; ``None`` while this one follows the store itself."""
        return self._source

    def on_snapshot(self, found: StoreRange) -> None:
        """Take in all entries, as the store has them."""
        if found.revision < self._reached:
            return
        self._entries = {entry.key: entry for entry in found.entries}
        self._changes.clear()
        self._oldest = self._reached = found.revision
        self._listener.on_snapshot(found)
        self._tell_all(self._whole())

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in changes, as the store has them."""
        revision = batch.newest_revision or batch.revision
        if revision <= self._reached:
            return
        before = self._reached
        changes = [_Change(key=entry.key, entry=entry) for entry in batch.entries]
        changes += [_Change(key=key, entry=None) for key in batch.deleted]
        self._keep(changes, revision)
        self._listener.on_changes(batch)
        self._tell_all(self._since(before))

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Note whether the watch of this host's own is answered."""
        self._note_own(replace(self._own, is_watched=reachable))

    def on_calls(self, *, answered: bool) -> None:
        """Note whether other calls to the store are answered.

        A watch that waits at a store that refuses calls hears nothing and does not end.
        """
        self._note_own(replace(self._own, is_answered=answered))

    def end_following(self) -> None:
        """Take in that this host watches the store no more."""
        self.on_reachability_changed(reachable=False)

    def follow(self, source: HostId | None) -> None:
        """Hear changes from a host from now on.

        :param source: That host; ``None`` when this one follows the store itself.
        """
        if source == self._source:
            return
        if self._source is not None:
            self._tell(self._source, ListRequest(topic=self._topic, ends=True))
        self._source = source
        if source is None:
            self._told = _StoreView()
            self._tell_listener()
        else:
            # What the former source said of the store holds until this one has answered.
            _log.info("Entries come from another host.", topic=self._topic.value, source=source)
            self._ask(source)

    def on_joined(self, host: HostId) -> None:
        """Ask a host again that has come back."""
        self._subscribers.discard(host)
        if host == self._source:
            self._ask(host)

    def on_gone(self, host: HostId) -> None:
        """Tell a host no more that is gone."""
        self._subscribers.discard(host)

    def on_message(self, host: HostId, message: Message) -> None:
        """Take in what another host asks or tells; other messages are ignored."""
        if isinstance(message, ListRequest) and message.topic is self._topic:
            self._on_request(host, message)
        elif isinstance(message, ListContent) and message.topic is self._topic:
            if host == self._source:
                self._on_content(message)
        elif isinstance(message, Heartbeat) and self._source is not None:
            self._on_heartbeat(host, message)

    def _on_request(self, host: HostId, request: ListRequest) -> None:
        if request.ends:
            self._subscribers.discard(host)
            return
        self._subscribers.add(host)
        self._tell(host, self._since(StoreRevision(request.have_revision)))

    def _on_content(self, content: ListContent) -> None:
        if content.revision:
            self._take(content)
        # Without a revision the source has read nothing itself, so that it tells of the store only.
        self._behind_since = None
        self._told = _StoreView(is_watched=content.is_watched, is_answered=content.is_answered)
        self._tell_listener()

    def _take(self, content: ListContent) -> None:
        entries = tuple(_to_entry(item) for item in content.entries)
        revision = StoreRevision(content.revision)
        if content.after < 0:
            self.on_snapshot(StoreRange(entries=entries, revision=revision))
        elif content.after <= self._reached:
            deleted = tuple(content.deleted)
            self.on_changes(WatchBatch(entries=entries, deleted=deleted, revision=revision))
        else:
            # Something was missed in between.
            self._ask_source()

    def _on_heartbeat(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Ask a host that knows more for what the source does not tell."""
        if self._told_by(heartbeat) <= self._reached:
            return
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < BEHIND_MS and host != self._source:
            return
        self._behind_since = None
        if host == self._source:
            self._ask(host)
        else:
            self.follow(host)

    def _told_by(self, heartbeat: Heartbeat) -> int:
        """Return the revision up to which a host knows this topic."""
        if self._topic is ListTopic.EVACUATIONS:
            return heartbeat.evacuations
        return heartbeat.listed

    def _note_own(self, view: _StoreView) -> None:
        """Tell the others when this host's own view of the store has changed.

        What another one tells of the store is not told on, or two hosts that hear from each other
        would go on believing each other.
        """
        if view == self._own:
            return
        self._own = view
        self._tell_all(self._since(self._reached))
        self._tell_listener()

    def _tell_listener(self) -> None:
        """Tell what is known of the store, by this host or by its source."""
        view = self._own if self._own.is_current or not self._told.is_watched else self._told
        before, self._view = self._view, view
        if view.is_watched is not before.is_watched:
            self._listener.on_reachability_changed(reachable=view.is_watched)
        if view.is_answered is not before.is_answered:
            self._listener.on_calls(answered=view.is_answered)

    def _ask_source(self) -> None:
        if self._source is not None:
            self._ask(self._source)

    def _ask(self, host: HostId) -> None:
        self._tell(host, ListRequest(topic=self._topic, have_revision=self._reached))

    def _keep(self, changes: Sequence[_Change], revision: StoreRevision) -> None:
        for change in changes:
            if change.entry is None:
                self._entries.pop(change.key, None)
            else:
                self._entries[change.key] = change.entry
        self._changes[revision] = list(changes)
        self._reached = revision
        while len(self._changes) > KEPT_CHANGES:
            self._oldest, _ = self._changes.popitem(last=False)

    def _whole(self) -> ListContent:
        return ListContent(
            topic=self._topic,
            revision=self._reached,
            is_watched=self._own.is_watched,
            is_answered=self._own.is_answered,
            entries=[_to_item(entry) for entry in self._entries.values()],
        )

    def _since(self, revision: StoreRevision) -> ListContent:
        """Return what has changed after a revision, or everything when that is not known."""
        if revision < self._oldest or not self._reached:
            return self._whole()
        last: dict[str, StoreEntry | None] = {}
        for made, changes in self._changes.items():
            if made > revision:
                last.update({change.key: change.entry for change in changes})
        return ListContent(
            topic=self._topic,
            revision=self._reached,
            after=revision,
            is_watched=self._own.is_watched,
            is_answered=self._own.is_answered,
            entries=[_to_item(entry) for entry in last.values() if entry is not None],
            deleted=[key for key, entry in last.items() if entry is None],
        )

    def _tell_all(self, content: ListContent) -> None:
        for host in list(self._subscribers):
            if not self._tell(host, content):
                self._subscribers.discard(host)


def _to_item(entry: StoreEntry) -> ListedItem:
    # What is no text can't be read by anyone, and is as unreadable when some of it is replaced.
    value = entry.value.decode(errors="replace")
    return ListedItem(key=entry.key, value=value, revision=entry.mod_revision)


def _to_entry(item: ListedItem) -> StoreEntry:
    revision = StoreRevision(item.revision)
    return StoreEntry(
        key=item.key,
        value=item.value.encode(),
        create_revision=revision,
        mod_revision=revision,
    )
