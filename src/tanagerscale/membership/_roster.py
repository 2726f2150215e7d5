"""The known upstreams, kept through outages of the store that lists them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from collections.abc import Set
from functools import partial
from typing import Final
from typing import final

from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import Subject
from returns.functions import identity
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.core import attempt_decoding
from tanagerscale.core import get_logger
from tanagerscale.core import run_contained
from tanagerscale.membership._entry_grace import EntryGrace
from tanagerscale.membership._entry_order import EntryOrder
from tanagerscale.membership._entry_order import order_entry
from tanagerscale.membership._evacuations import Evacuations
from tanagerscale.membership._gate import NoticeSource
from tanagerscale.membership._gate import UpstreamGate
from tanagerscale.membership._roster_records import UpstreamRecord
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from tanagerscale.store import era_of
from tanagerscale.store import format_revision
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

UNREADABLE_GRACE_MS: Final = 1800
"""How long running requests stay on an upstream after another writer has overwritten its entry. The
upstream rewrites its own entry within a heartbeat of 1.2 s. Two seconds after a leaving notice it
must get no new requests; it gets none from the moment its entry is unreadable."""

OLDER_INCARNATION_DELAY_MS: Final = 1800
"""How long the entry of an earlier incarnation must stay unchanged to be accepted. If the store
only applied a write of an ended incarnation late, the current one overwrites it within a heartbeat
of 1.2 s."""

RETURNED_ENTRY_DELAY_MS: Final = 4500
"""How long the entry of an upstream that had been removed must stay after the store has come back
from an older copy. Without heartbeats it is removed again after three intervals of 1.2 s."""

GONE_RETENTION_MS: Final = 60_000
"""How long the record of a gone upstream is kept for the requests that still run on it."""

_log = get_logger(part="roster")

DecodeEntry = Callable[[str, bytes], Result[UpstreamEntry, str]]


@final
class UpstreamRoster:
    """Tracks the entries of upstreams in the store and reports leaving upstreams to the gate.

    :param gate: Records leaving upstreams and notifies the peers.
    :param evacuations: The failure domains that get no new requests.
    :param decode: Decodes one store entry from its key and value.
    :param parse_upstream_name: Returns the name of the upstream whose entry has a key.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        gate: UpstreamGate,
        evacuations: Evacuations,
        decode: DecodeEntry,
        parse_upstream_name: Callable[[str], UpstreamName],
        clock: Clock,
    ) -> None:
        self._gate = gate
        self._evacuations = evacuations
        self._decode = decode
        self._parse_upstream_name = parse_upstream_name
        self._clock = clock
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._current: dict[UpstreamName, UpstreamId] = {}
        self._written_revisions: dict[UpstreamName, StoreRevision] = {}
        self._store_state = StoreState.UNKNOWN
        self._was_store_lost = False
        """Whether the store was lost when its state was last known."""
        self._are_calls_failing = False
        self._grace = EntryGrace(clock=clock)
        self._has_read = False
        self._era = 0
        self._changes: Subject[UpstreamId] = Subject()
        self._replaced: Subject[UpstreamEntry] = Subject()
        self._is_current_changes: Subject[bool] = Subject()

    @property
    def has_read(self) -> bool:
        """Whether the store has been read since this host started."""
        return self._has_read

    @property
    def is_current(self) -> bool:
        """Whether the store reports changes; otherwise upstreams may leave without notice."""
        return self._store_state is StoreState.REACHED and not self._are_calls_failing

    @property
    def is_current_changes(self) -> Observable[bool]:
        """Emits ``is_current`` each time it changes."""
        return self._is_current_changes

    @property
    def replaced(self) -> Observable[UpstreamEntry]:
        """Emits the entry of each earlier incarnation when its upstream has restarted."""
        return self._replaced

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Emits each upstream whose entry was written or is gone."""
        return self._changes

    @property
    def known_count(self) -> int:
        """Number of known upstreams, including those that have been gone for less than a minute."""
        return len(self._records)

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, including for a minute after the upstream is gone."""
        record = self._records.get(upstream)
        return None if record is None else record.entry

    def open_for(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that accept new requests."""
        return [
            entry for entry in self._iterate_eligible(service) if self._gate.is_open(entry.upstream)
        ]

    def not_leaving(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that are not leaving, including failing ones."""
        return [
            entry
            for entry in self._iterate_eligible(service)
            if not self._gate.is_leaving(entry.upstream)
        ]

    def is_evacuated(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream gets no requests because its failure domain is evacuated."""
        record = self._records.get(upstream)
        return record is not None and self._evacuations.is_evacuated(record.entry.failure_domain)

    def has_evacuated(self, service: ServiceId) -> bool:
        """Return whether a service has upstreams that are evacuated but not leaving."""
        return any(
            record.entry.service == service
            and self._evacuations.is_evacuated(record.entry.failure_domain)
            and not self._gate.is_leaving(upstream)
            for upstream, record in self._records.items()
        )

    def _iterate_eligible(self, service: ServiceId) -> Iterator[UpstreamEntry]:
        for record in self._records.values():
            entry = record.entry
            is_match = record.is_readable and entry.service == service
            if is_match and not self._evacuations.is_evacuated(entry.failure_domain):
                yield entry

    def warmup_ms(self, upstream: UpstreamId) -> int:
        """Return the remaining warm-up time that an upstream reports, in milliseconds."""
        record = self._records.get(upstream)
        return 0 if record is None else max(record.warmup_until - self._clock.now(), 0)

    def since_evacuation_ms(self, upstream: UpstreamId) -> int | None:
        """Return the time since the evacuation of an upstream's failure domain ended.

        :param upstream: The upstream.
        :returns: Milliseconds; ``None`` if the upstream is unknown, its failure domain was not
            evacuated or the end is no longer remembered.
        """
        record = self._records.get(upstream)
        return (
            None if record is None else self._evacuations.ms_since_end(record.entry.failure_domain)
        )

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Apply a full read of the store."""
        self._note_era(snapshot.revision)
        present = {self._parse_upstream_name(entry.key) for entry in snapshot.entries}
        self._handle_entries(snapshot.entries)
        self._record_missing(self._current.keys() - present, snapshot.revision)
        self._has_read = True

    def _note_era(self, revision: StoreRevision) -> None:
        """Treat the return of the store from a copy as an outage, since entries may be missing."""
        era, before = era_of(revision), self._era
        self._era = era
        if self._has_read and era > before:
            _log.info(
                "The list comes from an older copy of the store.",
                era=era,
                before=before,
                revision=format_revision(revision),
            )
            self._grace.record_recovery()

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply changes that a watch of the store reports."""
        self._handle_entries(batch.entries)
        deleted = {self._parse_upstream_name(key) for key in batch.deleted}
        for name in deleted & self._current.keys():
            self._written_revisions[name] = batch.revision
        self._record_missing(deleted, batch.revision)

    def on_store_state(self, state: StoreState) -> None:
        """Record the state of the store; entries may have expired while it was lost."""
        was_current = self.is_current
        if state is StoreState.REACHED and self._was_store_lost:
            self._grace.record_recovery()
        if state is not StoreState.UNKNOWN:
            self._was_store_lost = state is StoreState.LOST
        self._store_state = state
        self._publish_is_current(was_current)

    def on_calls(self, *, answered: bool) -> None:
        """Record whether calls to the store other than the watch are answered.

        A watch on a store that rejects calls receives no changes and does not end.
        """
        was_current = self.is_current
        if answered and self._are_calls_failing:
            self._grace.record_recovery()
        self._are_calls_failing = not answered
        self._publish_is_current(was_current)

    def _publish_is_current(self, was_current: bool) -> None:
        if self.is_current is not was_current:
            self._is_current_changes.on_next(self.is_current)

    def _handle_entries(self, entries: Sequence[StoreEntry]) -> None:
        """Handle each entry, also if that of another one fails."""
        for entry in entries:
            run_contained("roster", partial(self._handle_entry, entry), key=entry.key)

    def _handle_entry(self, stored: StoreEntry) -> None:
        decoded = attempt_decoding(lambda: self._decode(stored.key, stored.value)).bind(identity)
        if isinstance(decoded, Failure):
            name = self._parse_upstream_name(stored.key)
            if name in self._current:
                self._written_revisions[name] = stored.mod_revision
            self._reject(name, stored.mod_revision, decoded.failure())
            return
        self._handle_decoded(decoded.unwrap(), stored.mod_revision)

    def _handle_decoded(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        self._written_revisions[entry.name] = revision
        record = self._get_current(entry.name)
        order = order_entry(entry, revision, record)
        if record is None or order is EntryOrder.NEWER:
            self._apply(entry, revision)
            return
        _log.info(
            "An upstream entry is not the newest state.",
            upstream=entry.upstream,
            order=order.value,
            state=entry.state.value,
            sequence=entry.sequence,
            known=record.entry.upstream,
            known_state=record.entry.state.value,
            known_sequence=record.entry.sequence,
            revision=format_revision(revision),
        )
        if order is EntryOrder.UNKNOWN_START:
            previous = record.entry.upstream
            self._reject(entry.name, revision, f"It has no start time; that of {previous} had one.")
        elif order is EntryOrder.EARLIER_START:
            self._apply_later(entry, revision, OLDER_INCARNATION_DELAY_MS)
        elif order is EntryOrder.RETURNED and record.entry.state is not UpstreamState.LEAVING:
            # It counts as a later statement, since the upstream would have lost its entry by then.
            later = replace(entry, sequence=record.entry.sequence)
            self._apply_later(later, revision, RETURNED_ENTRY_DELAY_MS)

    def _apply(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        """Apply an entry as the current state of its upstream."""
        record = self._get_current(entry.name)
        if record is None or record.entry.upstream != entry.upstream:
            self._add(entry, revision)
            if record is not None:
                self._retire(record, revision)
        else:
            self._update(record, entry, revision)
        if entry.state is UpstreamState.LEAVING:
            self._gate.record_leaving(
                upstream=entry.upstream,
                incarnation=revision,
                sequence=entry.sequence,
                source=NoticeSource.STORE,
            )
        else:
            if not entry.started_ms:
                self._gate.expire_own_notice(upstream=entry.upstream)
            # A rewritten entry reopens the upstream, unless it has itself said that it leaves.
            self._gate.record_incarnation(
                upstream=entry.upstream, incarnation=revision, sequence=entry.sequence
            )
        self._changes.on_next(entry.upstream)

    def _update(
        self, record: UpstreamRecord, entry: UpstreamEntry, revision: StoreRevision
    ) -> None:
        """Update a record; reading the same revision again does not restart the warm-up time."""
        if revision != record.revision:
            record.warmup_until = self._compute_warmup_until(entry)
        record.revision = revision
        record.entry = entry
        record.missing_since = None
        record.is_readable = True

    def _compute_warmup_until(self, entry: UpstreamEntry) -> Millis:
        return Millis(self._clock.now() + entry.warmup_ms)

    def _get_current(self, name: UpstreamName) -> UpstreamRecord | None:
        upstream = self._current.get(name)
        return None if upstream is None else self._records.get(upstream)

    def _add(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        self._records[entry.upstream] = UpstreamRecord(
            entry=entry, revision=revision, warmup_until=self._compute_warmup_until(entry)
        )
        self._current[entry.name] = entry.upstream
        _log.info(
            "An upstream is new.",
            upstream=entry.upstream,
            service=entry.service,
            address=entry.address,
            failure_domain=entry.failure_domain,
            revision=format_revision(revision),
        )

    def _retire(self, record: UpstreamRecord, revision: StoreRevision) -> None:
        """Mark an earlier incarnation as gone; the restarted upstream runs none of its requests."""
        _log.info(
            "Upstream restarted.",
            upstream=record.entry.upstream,
            revision=format_revision(revision),
        )
        record.missing_since = self._clock.now()
        self._mark_gone(record.entry.upstream, revision)
        self._replaced.on_next(record.entry)

    def _apply_later(self, entry: UpstreamEntry, revision: StoreRevision, delay_ms: int) -> None:
        """Apply an entry after some time, if it is still unchanged."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / MS_PER_SECOND, self._apply_if_unchanged, entry, revision)

    def _apply_if_unchanged(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        if self._written_revisions.get(entry.name) == revision:
            self._apply(entry, revision)

    def _reject(self, name: UpstreamName, revision: StoreRevision, detail: str) -> None:
        """Ignore an entry that its upstream did not write, and send the upstream no requests."""
        _log.warning(
            "Rejected an upstream entry.",
            name=name,
            revision=format_revision(revision),
            detail=detail,
        )
        record = self._get_current(name)
        if record is None or not record.is_readable:
            return
        record.is_readable = False
        self._changes.on_next(record.entry.upstream)
        if record.missing_since is None:
            record.missing_since = self._clock.now()
            record.missing_at = revision
            self._mark_gone_later(record, revision, UNREADABLE_GRACE_MS)

    def _record_missing(self, names: Set[UpstreamName], revision: StoreRevision) -> None:
        now = self._clock.now()
        missing = [
            record
            for name in names
            if (record := self._get_current(name)) is not None and record.missing_since is None
        ]
        for record in missing:
            record.missing_since = now
            record.missing_at = revision
        if self._was_store_lost:
            # A peer that sends entries knows before this host that the store is back.
            self._grace.record_recovery()
        wait_ms = self._grace.compute_ms([self._records[one] for one in self._current.values()])
        for record in missing:
            self._mark_gone_later(record, revision, wait_ms)

    def _mark_gone_later(
        self, record: UpstreamRecord, revision: StoreRevision, wait_ms: int
    ) -> None:
        upstream = record.entry.upstream
        _log.info(
            "Upstream entry is missing or unreadable.",
            upstream=upstream,
            taken_as_gone_in_ms=wait_ms,
            store_revision=format_revision(revision),
        )
        if not wait_ms:
            self._mark_gone(upstream, revision)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / MS_PER_SECOND, self._mark_gone, upstream, revision)

    def _mark_gone(self, upstream: UpstreamId, revision: StoreRevision) -> None:
        record = self._records.get(upstream)
        if record is None or record.missing_since is None:
            return
        # The upstream may still serve for a short time, so it is treated as leaving.
        self._gate.record_leaving(
            upstream=upstream,
            incarnation=revision,
            sequence=record.entry.sequence,
            source=NoticeSource.STORE,
        )
        self._changes.on_next(upstream)
        loop = asyncio.get_running_loop()
        loop.call_later(GONE_RETENTION_MS / MS_PER_SECOND, self._delete_if_gone, upstream)

    def _delete_if_gone(self, upstream: UpstreamId) -> None:
        record = self._records.get(upstream)
        if record is not None and record.missing_since is not None:
            del self._records[upstream]
            if self._current.get(record.entry.name) == upstream:
                del self._current[record.entry.name]
                self._written_revisions.pop(record.entry.name, None)
            self._gate.forget(upstream=upstream)
