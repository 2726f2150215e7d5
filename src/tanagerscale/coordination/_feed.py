"""Distribution of store entries from the few hosts that watch the store to all others.

Engines are added and removed every few seconds in a cluster of hundreds of hosts, and each host
that watches the store makes a call for each change. So only coordinators watch; each other host
receives the changes from one of them, and switches to another one that has a newer revision.
"""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import Protocol
from typing import final

from msgspec.structs import replace

from tanagerscale.coordination._feed_entries import EntryChange
from tanagerscale.coordination._feed_entries import IgnoredChange
from tanagerscale.coordination._feed_entries import StoreView
from tanagerscale.coordination._feed_entries import merge_views
from tanagerscale.coordination._feed_entries import to_entry
from tanagerscale.coordination._feed_entries import to_item
from tanagerscale.coordination._feed_entries import view_of
from tanagerscale.coordination._listener_sync import ListenerSync
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import ListContent
from tanagerscale.generated.messages import ListRequest
from tanagerscale.generated.messages import ListTopic
from tanagerscale.membership import Message
from tanagerscale.store import PrefixListener
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from tanagerscale.store import format_revision

MAX_KEPT_CHANGES: Final = 200
"""Changes kept for hosts that request those they missed; more than a minute's worth when five
engines are added and removed every three seconds. A host that missed more gets all entries."""

MAX_LAG_MS: Final = 300
"""How long another host may have a newer revision before this host requests it; changes in transit
arrive within some milliseconds."""

_log = get_logger(part="feed")


class FeedListener(PrefixListener, Protocol):
    """Consumer of the entries of one topic."""

    def on_calls(self, *, answered: bool) -> None:
        """Handle that other calls to the store fail, or are answered again."""


@final
class ListFeed:
    """Keeps the entries of one topic and sends them to subscribers.

    The entries come from the store or from another host. The feed sits between the store watch and
    the consumer of the entries, and discards data that is older than the known revision.

    :param topic: Topic of the entries.
    :param listener: Consumer of the entries.
    :param send: Sends a message to a host; returns whether it is connected.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        topic: ListTopic,
        listener: FeedListener,
        send: Callable[[HostId, Message], bool],
        clock: Clock,
    ) -> None:
        self._topic = topic
        self._listener = listener
        self._sync = ListenerSync(component=topic.value, listener=listener, clock=clock)
        self._send = send
        self._clock = clock
        self._entries: dict[str, StoreEntry] = {}
        self._changes: OrderedDict[StoreRevision, list[EntryChange]] = OrderedDict()
        self._oldest = StoreRevision(0)
        """Changes after this revision are kept."""
        self._revision = StoreRevision(0)
        self._own_view = StoreView()
        self._source_view = StoreView()
        """State of the store according to the source."""
        self._listener_view = StoreView()
        """State of the store that the listener was last notified of."""
        self._subscribers: set[HostId] = set()
        self._source: HostId | None = None
        self._behind_since: Millis | None = None
        self._awaited = 0
        """Revision that another host had first when this host's own watch fell behind."""
        self._confirmed_at: Millis | None = None
        self.ignored: Counter[IgnoredChange] = Counter()
        """Snapshots and changes that were ignored."""

    @property
    def age_ms(self) -> int | None:
        """Time since the store or the source last showed that the entries are up to date.

        A watch that waits for changes shows nothing. ``None`` before any entries are known.
        """
        return None if self._confirmed_at is None else self._clock.now() - self._confirmed_at

    @property
    def revision(self) -> StoreRevision:
        """Revision of the store up to which the entries are known; 0 before any is known."""
        return self._revision

    @property
    def topic(self) -> ListTopic:
        """Topic of the entries."""
        return self._topic

    @property
    def source(self) -> HostId | None:
        """Host that the entries come from; ``None`` while this host watches the store itself."""
        return self._source

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Handle a snapshot of all entries in the store."""
        if snapshot.revision < self._revision:
            self._ignore(IgnoredChange.OLDER, snapshot.revision, count=len(snapshot.entries))
            return
        self._confirmed_at = self._clock.now()
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._changes.clear()
        self._oldest = self._revision = snapshot.revision
        self._sync.deliver_all(snapshot)
        self._publish(self._full_content())

    def on_changes(self, batch: WatchBatch) -> None:
        """Handle changes from the store."""
        revision = batch.newest_revision or batch.revision
        if revision <= self._revision:
            is_known = revision == self._revision
            reason = IgnoredChange.KNOWN if is_known else IgnoredChange.OLDER
            self._ignore(reason, revision, count=len(batch.entries) + len(batch.deleted))
            return
        self._confirmed_at = self._clock.now()
        before = self._revision
        changes = [EntryChange(key=entry.key, entry=entry) for entry in batch.entries]
        changes += [EntryChange(key=key, entry=None) for key in batch.deleted]
        self._record_changes(changes, revision)
        self._sync.deliver_changes(batch)
        self._publish(self._content_since(before))

    def on_store_state(self, state: StoreState) -> None:
        """Record the state of the store that this host's own watch shows."""
        self._update_own_view(replace(self._own_view, state=state))

    def on_calls(self, *, answered: bool) -> None:
        """Record whether other calls to the store are answered.

        A watch that is waiting receives nothing and does not end when the store starts to refuse
        calls.
        """
        self._update_own_view(replace(self._own_view, is_answered=answered))

    def stop_watching(self) -> None:
        """Record that this host no longer watches the store."""
        self.on_store_state(StoreState.UNKNOWN)

    def follow(self, source: HostId | None, *, is_store_lost: bool = False) -> None:
        """Receive changes from a host from now on.

        :param source: The host; ``None`` when this host watches the store itself.
        :param is_store_lost: Whether there is no source because the store answers no coordinator.
        """
        if source == self._source:
            return
        if self._source is not None:
            self._send(self._source, ListRequest(topic=self._topic, ends=True))
        self._source = source
        if source is None:
            state = StoreState.LOST if is_store_lost else StoreState.UNKNOWN
            self._source_view = StoreView(state=state)
            self._notify_listener()
        else:
            # The former source's state of the store stays in effect until the new source answers.
            _log.info(
                "Receiving entries from another host.", topic=self._topic.value, source=source
            )
            self._request_from(source)

    def on_joined(self, host: HostId) -> None:
        """Subscribe again to a source that has reconnected."""
        self._subscribers.discard(host)
        if host == self._source:
            self._request_from(host)

    def on_gone(self, host: HostId) -> None:
        """Remove the subscription of a host that has disconnected."""
        self._subscribers.discard(host)

    def on_message(self, host: HostId, message: Message) -> None:
        """Handle a subscription or content from another host; other messages are ignored."""
        if self._sync.is_due:
            entries = tuple(self._entries.values())
            self._sync.deliver_all(StoreRange(entries=entries, revision=self._revision))
        if isinstance(message, ListRequest) and message.topic is self._topic:
            self._on_request(host, message)
        elif isinstance(message, ListContent) and message.topic is self._topic:
            if host == self._source:
                self._on_content(message)
            elif self._source is None and message.revision > self._revision:
                self._on_overtaking_content(host, message)
            else:
                self._ignore(
                    IgnoredChange.OTHER_SOURCE,
                    StoreRevision(message.revision),
                    count=len(message.entries) + len(message.deleted),
                )
        elif isinstance(message, Heartbeat) and self._source is None:
            self._on_heartbeat_while_watching(host, message)
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(host, message)

    def _on_request(self, host: HostId, request: ListRequest) -> None:
        if request.ends:
            self._subscribers.discard(host)
            return
        self._subscribers.add(host)
        self._send(host, self._content_since(StoreRevision(request.have_revision)))

    def _on_content(self, content: ListContent) -> None:
        if content.revision:
            self._apply(content)
        # Content without a revision comes from a source that has read nothing itself; it only
        # carries the state of the store.
        self._behind_since = None
        self._source_view = view_of(content)
        self._notify_listener()

    def _apply(self, content: ListContent) -> None:
        entries = tuple(to_entry(item) for item in content.entries)
        revision = StoreRevision(content.revision)
        if content.after < 0:
            self.on_snapshot(StoreRange(entries=entries, revision=revision))
        elif content.after <= self._revision:
            deleted = tuple(content.deleted)
            self.on_changes(WatchBatch(entries=entries, deleted=deleted, revision=revision))
        else:
            # A change in between was missed.
            self._ignore(IgnoredChange.GAP, revision, count=len(entries))
            self._request_from_source()

    def _on_heartbeat(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Request changes from a host that has a newer revision than this one."""
        if host == self._source and self._announced_revision(heartbeat) == self._revision:
            self._confirmed_at = self._clock.now()
        if self._announced_revision(heartbeat) <= self._revision:
            return
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < MAX_LAG_MS and host != self._source:
            return
        self._behind_since = None
        if host == self._source:
            self._request_from(host)
        else:
            self.follow(host)

    def _on_heartbeat_while_watching(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Request what this host's own watch has not delivered for some time.

        A watch may stand still at the store, or on a connection that looks alive.
        """
        announced = self._announced_revision(heartbeat)
        if announced <= self._revision:
            return
        now = self._clock.now()
        if self._behind_since is None or self._revision >= self._awaited:
            self._behind_since, self._awaited = now, announced
        elif now - self._behind_since >= MAX_LAG_MS:
            self._behind_since = None
            self._request_from(host)

    def _on_overtaking_content(self, host: HostId, content: ListContent) -> None:
        """Apply content that this host's own watch has not delivered."""
        _log.warning(
            "The watch of the store is behind another host.",
            topic=self._topic.value,
            peer=host,
            revision=format_revision(content.revision),
            known=format_revision(self._revision),
            age_ms=self.age_ms,
        )
        self._apply(content)
        self._send(host, ListRequest(topic=self._topic, ends=True))

    def _announced_revision(self, heartbeat: Heartbeat) -> int:
        """Return the revision of this topic in a heartbeat."""
        if self._topic is ListTopic.EVACUATIONS:
            return heartbeat.evacuations
        return heartbeat.listed

    def _update_own_view(self, view: StoreView) -> None:
        """Update this host's own state of the store, and inform subscribers and the listener.

        The state received from a source is not forwarded; otherwise two hosts that follow each
        other would keep a stale state alive.
        """
        if view == self._own_view:
            return
        self._own_view = view
        self._publish(self._content_since(self._revision))
        self._notify_listener()

    def _notify_listener(self) -> None:
        """Notify the listener of the state of the store, as observed by this host or its source."""
        view = merge_views(own=self._own_view, source=self._source_view)
        before, self._listener_view = self._listener_view, view
        if view.state is not before.state:
            self._listener.on_store_state(view.state)
        if view.is_answered is not before.is_answered:
            self._listener.on_calls(answered=view.is_answered)

    def _ignore(self, reason: IgnoredChange, revision: StoreRevision, *, count: int) -> None:
        self.ignored[reason] += 1
        # Hosts that change their source get the same changes twice.
        if reason is IgnoredChange.KNOWN:
            return
        _log.info(
            "Entries are ignored.",
            topic=self._topic.value,
            reason=reason.value,
            revision=format_revision(revision),
            known=format_revision(self._revision),
            entries=count,
            source=self._source or "",
            age_ms=self.age_ms,
        )

    def _request_from_source(self) -> None:
        if self._source is not None:
            self._request_from(self._source)

    def _request_from(self, host: HostId) -> None:
        self._send(host, ListRequest(topic=self._topic, have_revision=self._revision))

    def _record_changes(self, changes: Sequence[EntryChange], revision: StoreRevision) -> None:
        for change in changes:
            if change.entry is None:
                self._entries.pop(change.key, None)
            else:
                self._entries[change.key] = change.entry
        self._changes[revision] = list(changes)
        self._revision = revision
        while len(self._changes) > MAX_KEPT_CHANGES:
            self._oldest, _ = self._changes.popitem(last=False)

    def _full_content(self) -> ListContent:
        return ListContent(
            topic=self._topic,
            revision=self._revision,
            is_watched=self._own_view.state is StoreState.REACHED,
            is_lost=self._own_view.state is StoreState.LOST,
            is_answered=self._own_view.is_answered,
            entries=[to_item(entry) for entry in self._entries.values()],
        )

    def _content_since(self, revision: StoreRevision) -> ListContent:
        """Return the changes after a revision, or all entries when the changes are not kept."""
        if revision < self._oldest or not self._revision:
            return self._full_content()
        latest: dict[str, StoreEntry | None] = {}
        for changed_at, changes in self._changes.items():
            if changed_at > revision:
                latest.update({change.key: change.entry for change in changes})
        return ListContent(
            topic=self._topic,
            revision=self._revision,
            after=revision,
            is_watched=self._own_view.state is StoreState.REACHED,
            is_lost=self._own_view.state is StoreState.LOST,
            is_answered=self._own_view.is_answered,
            entries=[to_item(entry) for entry in latest.values() if entry is not None],
            deleted=[key for key, entry in latest.items() if entry is None],
        )

    def _publish(self, content: ListContent) -> None:
        for host in list(self._subscribers):
            if not self._send(host, content):
                self._subscribers.discard(host)
