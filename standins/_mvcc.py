"""A key space with revisions, as etcd keeps it: one revision for each writing transaction."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import final

EVERYTHING = b"\0"
FIRST_REVISION = 1


class CompactedError(Exception):
    """The revision asked for is no longer kept."""


class FutureRevisionError(Exception):
    """The revision asked for does not exist yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One key as one revision left it; version 0 marks a deletion."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0

    @property
    def deleted(self) -> bool:
        """Whether this revision deleted the key."""
        return self.version == 0


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRange:
    """A single key, or all keys from ``key`` up to but not including ``end``."""

    key: bytes
    end: bytes = b""

    def covers(self, key: bytes) -> bool:
        """Return whether a key lies in the range.

        :param key: The key.
        """
        if not self.end:
            return key == self.key
        return key >= self.key and (self.end == EVERYTHING or key < self.end)


Listener = Callable[[int, tuple[Record, ...]], None]


@final
class KeySpace:
    """All keys and their history since the last compaction."""

    def __init__(self) -> None:
        self._revision = FIRST_REVISION
        self._compacted = 0
        self._keys: list[bytes] = []
        self._current: dict[bytes, Record] = {}
        self._history: list[Record] = []
        self._pending: dict[bytes, Record] = {}
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """The newest revision."""
        return self._revision

    @property
    def compacted(self) -> int:
        """The revision below which no history is kept; 0 before the first compaction."""
        return self._compacted

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener with each new revision and its records.

        :param listener: What is called.
        :returns: What ends the subscription.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def get(self, key: bytes) -> Record | None:
        """Return a key's record, with the open transaction's writes.

        :param key: The key.
        """
        record = self._pending.get(key) or self._current.get(key)
        return None if record is None or record.deleted else record

    def range(self, span: KeyRange, *, revision: int = 0) -> list[Record]:
        """Return the records of a range in the order of their keys.

        :param span: The keys.
        :param revision: As of which revision; 0 means now.
        :raises CompactedError: When that revision is no longer kept.
        :raises FutureRevisionError: When it does not exist yet.
        """
        if revision and revision != self._revision:
            return self._range_at(span, revision)
        if not span.end:
            record = self.get(span.key)
            return [] if record is None else [record]
        start = bisect.bisect_left(self._keys, span.key)
        end = len(self._keys)
        if span.end != EVERYTHING:
            end = bisect.bisect_left(self._keys, span.end)
        keys = set(self._keys[start:end]) | {key for key in self._pending if span.covers(key)}
        records = (self.get(key) for key in sorted(keys))
        return [record for record in records if record is not None]

    def put(self, *, key: bytes, value: bytes, lease: int = 0) -> Record | None:
        """Write a key in the open transaction.

        :param key: The key.
        :param value: Its new value.
        :param lease: The lease it lives under.
        :returns: What stood there before.
        """
        before = self.get(key)
        revision = self._revision + 1
        self._pending[key] = Record(
            key=key,
            value=value,
            create_revision=revision if before is None else before.create_revision,
            mod_revision=revision,
            version=1 if before is None else before.version + 1,
            lease=lease,
        )
        return before

    def delete(self, span: KeyRange) -> list[Record]:
        """Delete the keys of a range in the open transaction.

        :param span: The keys.
        :returns: What stood there before.
        """
        before = self.range(span)
        for record in before:
            self._pending[record.key] = replace(
                record,
                value=b"",
                create_revision=0,
                mod_revision=self._revision + 1,
                version=0,
                lease=0,
            )
        return before

    def commit(self) -> int:
        """End the open transaction; it makes one revision when it wrote anything.

        :returns: The newest revision.
        """
        if not self._pending:
            return self._revision
        records = tuple(self._pending.values())
        self._pending = {}
        self._revision += 1
        for record in records:
            self._take_in(record)
        self._history.extend(records)
        for listener in tuple(self._listeners):
            listener(self._revision, records)
        return self._revision

    def rollback(self) -> None:
        """Drop the open transaction."""
        self._pending = {}

    def events_since(self, revision: int, span: KeyRange) -> list[Record]:
        """Return the records of a range written at a revision or later, oldest first.

        :param revision: The first revision.
        :param span: The keys.
        :raises CompactedError: When part of that history is no longer kept.
        """
        if revision < self._compacted:
            raise CompactedError
        return [r for r in self._history if r.mod_revision >= revision and span.covers(r.key)]

    def compact(self, revision: int) -> None:
        """Forget the history up to a revision.

        :param revision: The newest revision that is forgotten.
        :raises CompactedError: When it was forgotten before.
        :raises FutureRevisionError: When it does not exist yet.
        """
        if revision <= self._compacted:
            raise CompactedError
        if revision > self._revision:
            raise FutureRevisionError
        self._compacted = revision
        kept = {r.key: r for r in self._history if r.mod_revision <= revision}
        base = [r for r in kept.values() if not r.deleted or r.mod_revision == revision]
        self._history = base + [r for r in self._history if r.mod_revision > revision]

    def _take_in(self, record: Record) -> None:
        if record.deleted:
            if self._current.pop(record.key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, record.key)]
            return
        if record.key not in self._current:
            bisect.insort(self._keys, record.key)
        self._current[record.key] = record

    def _range_at(self, span: KeyRange, revision: int) -> list[Record]:
        if revision < self._compacted:
            raise CompactedError
        if revision > self._revision:
            raise FutureRevisionError
        latest: dict[bytes, Record] = {}
        for record in self._history:
            if record.mod_revision <= revision and span.covers(record.key):
                latest[record.key] = record
        return [latest[key] for key in sorted(latest) if not latest[key].deleted]
