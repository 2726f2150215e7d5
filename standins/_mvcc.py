"""Multi-version key space like that of etcd: each transaction that writes creates one revision."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import final

ALL_KEYS_END = b"\0"
FIRST_REVISION = 1


class CompactedError(Exception):
    """Raised when the requested revision has been compacted."""


class FutureRevisionError(Exception):
    """Raised when the requested revision does not exist yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """State of a key at a revision.

    :param key: The key.
    :param value: Its value; empty after a deletion.
    :param create_revision: Revision that created the key; 0 after a deletion.
    :param mod_revision: Revision that wrote this state.
    :param version: Number of writes since the key was created; 0 marks a deletion.
    :param lease: Id of the lease that the key is attached to; 0 means none.
    """

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0

    @property
    def is_deleted(self) -> bool:
        """Whether this revision deleted the key."""
        return self.version == 0


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRange:
    """A single key, or a half-open range of keys.

    :param key: The key, or the first key of the range.
    :param end: First key past the range; empty selects the single key, and a zero byte all keys
        from ``key`` on.
    """

    key: bytes
    end: bytes = b""

    def contains(self, key: bytes) -> bool:
        """Return whether the range includes a key.

        :param key: Key to test.
        """
        if not self.end:
            return key == self.key
        return key >= self.key and (self.end == ALL_KEYS_END or key < self.end)


Listener = Callable[[int, tuple[Record, ...]], None]


@final
class KeySpace:
    """All keys and their history since the last compaction."""

    def __init__(self) -> None:
        self._revision = FIRST_REVISION
        self._compacted_revision = 0
        self._keys: list[bytes] = []
        self._current: dict[bytes, Record] = {}
        self._history: list[Record] = []
        self._pending: dict[bytes, Record] = {}
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """The latest revision."""
        return self._revision

    @property
    def compacted_revision(self) -> int:
        """Revision of the last compaction; older history is discarded; 0 before the first one."""
        return self._compacted_revision

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener with each new revision and its records.

        :param listener: Function to call on each commit that writes.
        :returns: Function that ends the subscription.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def get(self, key: bytes) -> Record | None:
        """Return the record of a key, including writes of the open transaction.

        :param key: The key.
        :returns: The record, or ``None`` when the key does not exist.
        """
        record = self._pending.get(key) or self._current.get(key)
        return None if record is None or record.is_deleted else record

    def range(self, key_range: KeyRange, *, revision: int = 0) -> list[Record]:
        """Return the records of a range, sorted by key.

        :param key_range: Keys to read.
        :param revision: Revision to read at; 0 means the latest one, with the open transaction.
        :raises CompactedError: When the revision has been compacted.
        :raises FutureRevisionError: When the revision does not exist yet.
        """
        if revision and revision != self._revision:
            return self._range_at(key_range, revision)
        if not key_range.end:
            record = self.get(key_range.key)
            return [] if record is None else [record]
        start = bisect.bisect_left(self._keys, key_range.key)
        end = len(self._keys)
        if key_range.end != ALL_KEYS_END:
            end = bisect.bisect_left(self._keys, key_range.end)
        keys = set(self._keys[start:end]) | {
            key for key in self._pending if key_range.contains(key)
        }
        records = (self.get(key) for key in sorted(keys))
        return [record for record in records if record is not None]

    def put(self, *, key: bytes, value: bytes, lease: int = 0) -> Record | None:
        """Write a key in the open transaction.

        :param key: The key.
        :param value: Its new value.
        :param lease: Id of the lease that the key is attached to; 0 means none.
        :returns: The previous record, or ``None`` when the key did not exist.
        """
        previous = self.get(key)
        revision = self._revision + 1
        self._pending[key] = Record(
            key=key,
            value=value,
            create_revision=revision if previous is None else previous.create_revision,
            mod_revision=revision,
            version=1 if previous is None else previous.version + 1,
            lease=lease,
        )
        return previous

    def delete(self, key_range: KeyRange) -> list[Record]:
        """Delete the keys of a range in the open transaction.

        :param key_range: Keys to delete.
        :returns: The records of the deleted keys.
        """
        previous = self.range(key_range)
        for record in previous:
            self._pending[record.key] = replace(
                record,
                value=b"",
                create_revision=0,
                mod_revision=self._revision + 1,
                version=0,
                lease=0,
            )
        return previous

    def commit(self) -> int:
        """Commit the open transaction, which creates a revision if it wrote anything.

        :returns: The latest revision.
        """
        if not self._pending:
            return self._revision
        records = tuple(self._pending.values())
        self._pending = {}
        self._revision += 1
        for record in records:
            self._apply_record(record)
        self._history.extend(records)
        for listener in tuple(self._listeners):
            listener(self._revision, records)
        return self._revision

    def rollback(self) -> None:
        """Discard the open transaction."""
        self._pending = {}

    def events_since(self, revision: int, key_range: KeyRange) -> list[Record]:
        """Return the records of a range written at or after a revision, oldest first.

        :param revision: First revision to include.
        :param key_range: Keys to include.
        :raises CompactedError: When part of that history has been compacted.
        """
        if revision < self._compacted_revision:
            raise CompactedError
        return [
            r for r in self._history if r.mod_revision >= revision and key_range.contains(r.key)
        ]

    def compact(self, revision: int) -> None:
        """Discard the history up to a revision, except the state of the keys at that revision.

        :param revision: Revision to compact at.
        :raises CompactedError: When that revision has already been compacted.
        :raises FutureRevisionError: When the revision does not exist yet.
        """
        if revision <= self._compacted_revision:
            raise CompactedError
        if revision > self._revision:
            raise FutureRevisionError
        self._compacted_revision = revision
        latest = {r.key: r for r in self._history if r.mod_revision <= revision}
        base = [r for r in latest.values() if not r.is_deleted or r.mod_revision == revision]
        self._history = base + [r for r in self._history if r.mod_revision > revision]

    def _apply_record(self, record: Record) -> None:
        if record.is_deleted:
            if self._current.pop(record.key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, record.key)]
            return
        if record.key not in self._current:
            bisect.insort(self._keys, record.key)
        self._current[record.key] = record

    def _range_at(self, key_range: KeyRange, revision: int) -> list[Record]:
        if revision < self._compacted_revision:
            raise CompactedError
        if revision > self._revision:
            raise FutureRevisionError
        latest: dict[bytes, Record] = {}
        for record in self._history:
            if record.mod_revision <= revision and key_range.contains(record.key):
                latest[record.key] = record
        return [latest[key] for key in sorted(latest) if not latest[key].is_deleted]
