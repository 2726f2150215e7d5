"""The upstreams there are, through outages of the store that lists them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Set
from dataclasses import dataclass
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
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

GONE_MEMORY_MS: Final = 60_000
"""How long an upstream that is gone stays known, for what still runs on it."""

_log = get_logger(part="roster")

Decode = Callable[[str, bytes], Result[UpstreamEntry, str]]


@dataclass(kw_only=True, slots=True)
class _Known:
    entry: UpstreamEntry
    since: Millis
    missing_since: Millis | None = None


@final
class UpstreamRoster:
    """Keeps the entries of upstreams and closes the gate of those that leave.

    :param gate: Learns of leaving upstreams and tells the peers.
    :param decode: Reads one entry of the store.
    :param upstream_of: Returns whose entry stands under a key.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        gate: UpstreamGate,
        decode: Decode,
        upstream_of: Callable[[str], UpstreamId],
        clock: Clock,
    ) -> None:
        self._gate = gate
        self._decode = decode
        self._upstream_of = upstream_of
        self._clock = clock
        self._known: dict[UpstreamId, _Known] = {}
        self._store_away = True
        self._store_back_at = Millis(-LAPSE_GRACE_MS)
        self._changes: Subject[UpstreamId] = Subject()

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
        return [
            known.entry
            for known in self._known.values()
            if known.entry.service == service and self._gate.is_open(known.entry.upstream)
        ]

    def staying(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that are not leaving, failing ones included."""
        return [
            known.entry
            for known in self._known.values()
            if known.entry.service == service and not self._gate.is_leaving(known.entry.upstream)
        ]

    def known_ms(self, upstream: UpstreamId) -> int:
        """Return for how long an upstream has been known here."""
        known = self._known.get(upstream)
        return 0 if known is None else self._clock.now() - known.since

    def on_snapshot(self, found: StoreRange) -> None:
        """Take in all entries at once."""
        present = {self._upstream_of(entry.key) for entry in found.entries}
        for entry in found.entries:
            self._take(entry)
        self._note_missing(self._known.keys() - present, found.revision)

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in changes."""
        for entry in batch.entries:
            self._take(entry)
        self._note_missing({self._upstream_of(key) for key in batch.deleted}, batch.revision)

    def on_store(self, *, reachable: bool) -> None:
        """Note when the store answers again; entries may have lapsed meanwhile."""
        if reachable and self._store_away:
            self._store_back_at = self._clock.now()
        self._store_away = not reachable

    def _take(self, stored: StoreEntry) -> None:
        decoded = self._decode(stored.key, stored.value)
        if isinstance(decoded, Failure):
            _log.warning("An entry is refused.", key=stored.key, detail=decoded.failure())
            return
        entry = decoded.unwrap()
        known = self._known.get(entry.upstream)
        if known is None:
            self._known[entry.upstream] = _Known(entry=entry, since=self._clock.now())
            _log.info(
                "An upstream is new.",
                upstream=entry.upstream,
                service=entry.service,
                address=entry.address,
                failure_domain=entry.failure_domain,
                revision=stored.mod_revision,
            )
        else:
            known.entry = entry
            known.missing_since = None
        if entry.state is UpstreamState.LEAVING:
            self._gate.note_leaving(upstream=entry.upstream, incarnation=stored.mod_revision)
        else:
            # Written anew it takes work again, whatever was said of it before.
            self._gate.note_listed(upstream=entry.upstream, incarnation=stored.mod_revision)
        self._changes.on_next(entry.upstream)

    def _note_missing(self, upstreams: Set[UpstreamId], revision: StoreRevision) -> None:
        now = self._clock.now()
        missing = [
            known
            for upstream in upstreams
            if (known := self._known.get(upstream)) is not None and known.missing_since is None
        ]
        for known in missing:
            known.missing_since = now
        wait_ms = max(self._store_back_at + LAPSE_GRACE_MS - now, 0)
        if wait_ms == 0 and self._lapsed_together(now):
            wait_ms = TOGETHER_GRACE_MS
        loop = asyncio.get_running_loop()
        for known in missing:
            upstream = known.entry.upstream
            _log.info(
                "An entry is gone.",
                upstream=upstream,
                taken_as_gone_in_ms=wait_ms,
                store_revision=revision,
            )
            if wait_ms:
                delay_s = wait_ms / MS_PER_SECOND
                loop.call_later(delay_s, self._take_as_gone, upstream, revision)
            else:
                self._take_as_gone(upstream, revision)

    def _lapsed_together(self, now: Millis) -> bool:
        """Return whether so many entries went at once that the store itself may have been away.

        A watch that waits does not show that its store is down.
        """
        lately = [
            known
            for known in self._known.values()
            if known.missing_since is not None and now - known.missing_since < TOGETHER_MS
        ]
        present = sum(known.missing_since is None for known in self._known.values())
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
            self._gate.forget(upstream=upstream)
