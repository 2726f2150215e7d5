"""The upstreams there are, through outages of the store that lists them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Set
from typing import Final
from typing import final

from msgspec import Struct
from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.core import get_logger
from tanagerscale.membership._evacuations import Evacuations
from tanagerscale.membership._gate import UpstreamGate
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

LAPSE_GRACE_MS: Final = 2200
"""How long an entry may be missing after the store was away. Live upstreams write theirs anew
within about two seconds of its return."""

TOGETHER_MS: Final = 1000
TOGETHER_SHARE: Final = 0.34
"""Entries that go within a second, and are a third of those that stay or more, may have lapsed
while the store was away."""

TOGETHER_GRACE_MS: Final = 1800
"""How long these may be missing; a little less than the two seconds after which a leaving upstream
gets no new work, in case they are gone indeed."""

UNREADABLE_GRACE_MS: Final = 1800
"""How long what runs on an upstream stays there after others have written over its entry. It writes
its own within a heartbeat of 1.2 s; two seconds after a notice it must get no new work, and it gets
none from the start."""

OLDER_START_MS: Final = 1800
"""How long the entry of an earlier start must stand to be believed. A write of a start that is
over, which the store carried out late, is written over within a heartbeat of 1.2 s."""

GONE_MEMORY_MS: Final = 60_000
"""How long an upstream that is gone stays known, for what still runs on it."""

_log = get_logger(part="roster")

Decode = Callable[[str, bytes], Result[UpstreamEntry, str]]


class _Known(Struct, kw_only=True):
    entry: UpstreamEntry
    revision: StoreRevision
    cold_until: Millis
    missing_since: Millis | None = None
    is_readable: bool = True


@final
class UpstreamRoster:
    """Keeps the entries of upstreams and closes the gate of those that leave.

    :param gate: Learns of leaving upstreams and tells the peers.
    :param evacuations: Which failure domains get no new requests.
    :param decode: Reads one entry of the store.
    :param name_of: Returns whose entry stands under a key.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        gate: UpstreamGate,
        evacuations: Evacuations,
        decode: Decode,
        name_of: Callable[[str], UpstreamName],
        clock: Clock,
    ) -> None:
        self._gate = gate
        self._evacuations = evacuations
        self._decode = decode
        self._name_of = name_of
        self._clock = clock
        self._known: dict[UpstreamId, _Known] = {}
        self._current: dict[UpstreamName, UpstreamId] = {}
        self._written: dict[UpstreamName, StoreRevision] = {}
        self._store_away = True
        self._calls_fail = False
        self._store_back_at = Millis(-LAPSE_GRACE_MS)
        self._has_read = False
        self._changes: Subject[UpstreamId] = Subject()
        self._replaced: Subject[UpstreamEntry] = Subject()
        self._currency: Subject[bool] = Subject()

    @property
    def has_read(self) -> bool:
        """Whether the store was read once since this host started."""
        return self._has_read

    @property
    def is_current(self) -> bool:
        """Whether the store tells of changes; otherwise upstreams may leave without notice."""
        return not self._store_away and not self._calls_fail

    @property
    def currency(self) -> Observable[bool]:
        """Whether the store tells of changes, after each change of that."""
        return self._currency

    @property
    def replaced(self) -> Observable[UpstreamEntry]:
        """Each start of an upstream that is over, since the upstream has started again."""
        return self._replaced

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Each upstream whose entry was written or is gone."""
        return self._changes

    @property
    def known(self) -> int:
        """How many upstreams are known, those that are gone for less than a minute included."""
        return len(self._known)

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, also for a while after it is gone."""
        known = self._known.get(upstream)
        return None if known is None else known.entry

    def open_for(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that take new work."""
        return [entry for entry in self._listed(service) if self._gate.is_open(entry.upstream)]

    def staying(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that are not leaving, failing ones included."""
        return [
            entry for entry in self._listed(service) if not self._gate.is_leaving(entry.upstream)
        ]

    def is_evacuated(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream gets no requests since its failure domain is evacuated."""
        known = self._known.get(upstream)
        return known is not None and self._evacuations.is_evacuated(known.entry.failure_domain)

    def has_evacuated(self, service: ServiceId) -> bool:
        """Return whether upstreams of a service stay that get no requests."""
        return any(
            known.entry.service == service
            and self._evacuations.is_evacuated(known.entry.failure_domain)
            and not self._gate.is_leaving(upstream)
            for upstream, known in self._known.items()
        )

    def _listed(self, service: ServiceId) -> Iterator[UpstreamEntry]:
        for known in self._known.values():
            entry = known.entry
            is_wanted = known.is_readable and entry.service == service
            if is_wanted and not self._evacuations.is_evacuated(entry.failure_domain):
                yield entry

    def cold_ms(self, upstream: UpstreamId) -> int:
        """Return how much longer an upstream is cold by its own word."""
        known = self._known.get(upstream)
        return 0 if known is None else max(known.cold_until - self._clock.now(), 0)

    def taken_back_ms(self, upstream: UpstreamId) -> int | None:
        """Return how long ago its failure domain's evacuation ended; ``None`` for long ago."""
        known = self._known.get(upstream)
        return None if known is None else self._evacuations.ended_ms(known.entry.failure_domain)

    def on_snapshot(self, found: StoreRange) -> None:
        """Take in all entries at once."""
        present = {self._name_of(entry.key) for entry in found.entries}
        for entry in found.entries:
            self._take(entry)
        self._note_missing(self._current.keys() - present, found.revision)
        self._has_read = True

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in changes."""
        for entry in batch.entries:
            self._take(entry)
        deleted = {self._name_of(key) for key in batch.deleted}
        for name in deleted & self._current.keys():
            self._written[name] = batch.revision
        self._note_missing(deleted, batch.revision)

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Note when the store answers again; entries may have lapsed meanwhile."""
        before = self.is_current
        if reachable and self._store_away:
            self._store_back_at = self._clock.now()
        self._store_away = not reachable
        self._tell_currency(before)

    def on_calls(self, *, answered: bool) -> None:
        """Note that other calls to the store fail, or are answered again.

        A watch that waits at a store that refuses calls hears nothing and does not end.
        """
        before = self.is_current
        if answered and self._calls_fail:
            self._store_back_at = self._clock.now()
        self._calls_fail = not answered
        self._tell_currency(before)

    def _tell_currency(self, before: bool) -> None:
        if self.is_current is not before:
            self._currency.on_next(self.is_current)

    def _take(self, stored: StoreEntry) -> None:
        decoded = self._decode(stored.key, stored.value)
        if isinstance(decoded, Failure):
            name = self._name_of(stored.key)
            if name in self._current:
                self._written[name] = stored.mod_revision
            self._refuse(name, stored.mod_revision, decoded.failure())
            return
        self._take_entry(decoded.unwrap(), stored.mod_revision)

    def _take_entry(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        self._written[entry.name] = revision
        known = self._current_of(entry.name)
        if known is None or entry.started_ms >= known.entry.started_ms:
            self._use(entry, revision)
        elif entry.started_ms == 0:
            told = known.entry.upstream
            self._refuse(entry.name, revision, f"It tells no start, as {told} did before.")
        else:
            self._doubt(entry, revision, known.entry)

    def _use(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        """Take an entry as what its upstream says of itself now."""
        known = self._current_of(entry.name)
        if known is None or known.entry.upstream != entry.upstream:
            self._add(entry, revision)
            if known is not None:
                self._replace(known, revision)
        else:
            self._renew(known, entry, revision)
        if entry.state is UpstreamState.LEAVING:
            self._gate.note_leaving(upstream=entry.upstream, incarnation=revision)
        else:
            # Written anew it takes work again, whatever was said of it before.
            self._gate.note_listed(upstream=entry.upstream, incarnation=revision)
        self._changes.on_next(entry.upstream)

    def _renew(self, known: _Known, entry: UpstreamEntry, revision: StoreRevision) -> None:
        """Take in what an upstream says anew; the same words heard again are no older by that."""
        if revision != known.revision:
            known.cold_until = self._cold_until(entry)
        known.revision = revision
        known.entry = entry
        known.missing_since = None
        known.is_readable = True

    def _cold_until(self, entry: UpstreamEntry) -> Millis:
        return Millis(self._clock.now() + entry.cold_ms)

    def _current_of(self, name: UpstreamName) -> _Known | None:
        upstream = self._current.get(name)
        return None if upstream is None else self._known.get(upstream)

    def _add(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        self._known[entry.upstream] = _Known(
            entry=entry, revision=revision, cold_until=self._cold_until(entry)
        )
        self._current[entry.name] = entry.upstream
        _log.info(
            "An upstream is new.",
            upstream=entry.upstream,
            service=entry.service,
            address=entry.address,
            failure_domain=entry.failure_domain,
            revision=revision,
        )

    def _replace(self, known: _Known, revision: StoreRevision) -> None:
        """Take an earlier start as gone: the upstream has started again and runs nothing of it."""
        _log.info(
            "An upstream has started again.", upstream=known.entry.upstream, revision=revision
        )
        known.missing_since = self._clock.now()
        self._take_as_gone(known.entry.upstream, revision)
        self._replaced.on_next(known.entry)

    def _doubt(self, entry: UpstreamEntry, revision: StoreRevision, newer: UpstreamEntry) -> None:
        """Leave out the entry of an earlier start, unless nobody writes over it."""
        _log.info(
            "An entry of an earlier start is doubted.",
            upstream=entry.upstream,
            newer=newer.upstream,
            revision=revision,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(OLDER_START_MS / MS_PER_SECOND, self._use_if_last, entry, revision)

    def _use_if_last(self, entry: UpstreamEntry, revision: StoreRevision) -> None:
        if self._written.get(entry.name) == revision:
            self._use(entry, revision)

    def _refuse(self, name: UpstreamName, revision: StoreRevision, detail: str) -> None:
        """Leave out an entry that no upstream wrote, and give no work by the one before it."""
        _log.warning("An entry is refused.", name=name, revision=revision, detail=detail)
        known = self._current_of(name)
        if known is None or not known.is_readable:
            return
        known.is_readable = False
        self._changes.on_next(known.entry.upstream)
        if known.missing_since is None:
            known.missing_since = self._clock.now()
            self._take_as_gone_later(known, revision, UNREADABLE_GRACE_MS)

    def _note_missing(self, names: Set[UpstreamName], revision: StoreRevision) -> None:
        now = self._clock.now()
        missing = [
            known
            for name in names
            if (known := self._current_of(name)) is not None and known.missing_since is None
        ]
        for known in missing:
            known.missing_since = now
        wait_ms = max(self._store_back_at + LAPSE_GRACE_MS - now, 0)
        if wait_ms == 0 and self._lapsed_together(now):
            wait_ms = TOGETHER_GRACE_MS
        for known in missing:
            self._take_as_gone_later(known, revision, wait_ms)

    def _take_as_gone_later(self, known: _Known, revision: StoreRevision, wait_ms: int) -> None:
        upstream = known.entry.upstream
        _log.info(
            "An entry is gone.",
            upstream=upstream,
            taken_as_gone_in_ms=wait_ms,
            store_revision=revision,
        )
        if not wait_ms:
            self._take_as_gone(upstream, revision)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / MS_PER_SECOND, self._take_as_gone, upstream, revision)

    def _lapsed_together(self, now: Millis) -> bool:
        """Return whether so many entries went at once that the store itself may have been away.

        A watch that waits does not show that its store is down.
        """
        current = [self._known[upstream] for upstream in self._current.values()]
        lately = [
            known
            for known in current
            if known.missing_since is not None and now - known.missing_since < TOGETHER_MS
        ]
        present = sum(known.missing_since is None for known in current)
        return len(lately) > 1 and len(lately) >= present * TOGETHER_SHARE

    def _take_as_gone(self, upstream: UpstreamId, revision: StoreRevision) -> None:
        known = self._known.get(upstream)
        if known is None or known.missing_since is None:
            return
        # It may serve for a little longer, so it is treated as leaving.
        self._gate.note_leaving(upstream=upstream, incarnation=revision)
        self._changes.on_next(upstream)
        loop = asyncio.get_running_loop()
        loop.call_later(GONE_MEMORY_MS / MS_PER_SECOND, self._forget, upstream)

    def _forget(self, upstream: UpstreamId) -> None:
        known = self._known.get(upstream)
        if known is not None and known.missing_since is not None:
            del self._known[upstream]
            if self._current.get(known.entry.name) == upstream:
                del self._current[known.entry.name]
                self._written.pop(known.entry.name, None)
            self._gate.forget(upstream=upstream)
