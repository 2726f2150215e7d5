"""The upstreams there are, through outages of the store that lists them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
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
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

LAPSE_GRACE_MS: Final = 2200
"""How long an entry may be missing after the store was away. Live upstreams write theirs anew
within about two seconds of its return."""

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

    def on_snapshot(self, entries: Sequence[StoreEntry]) -> None:
        """Take in all entries at once."""
        present = {self._upstream_of(entry.key) for entry in entries}
        for upstream in self._known.keys() - present:
            self._note_missing(upstream)
        self.on_changes(entries, ())

    def on_changes(self, written: Sequence[StoreEntry], deleted: Sequence[str]) -> None:
        """Take in changes."""
        for stored in written:
            self._take(stored)
        for key in deleted:
            self._note_missing(self._upstream_of(key))

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
            self._gate.note_gone(upstream=entry.upstream)
        self._changes.on_next(entry.upstream)

    def _note_missing(self, upstream: UpstreamId) -> None:
        known = self._known.get(upstream)
        if known is None or known.missing_since is not None:
            return
        now = self._clock.now()
        known.missing_since = now
        wait_ms = max(self._store_back_at + LAPSE_GRACE_MS - now, 0)
        _log.info("An entry is gone.", upstream=upstream, taken_as_gone_in_ms=wait_ms)
        loop = asyncio.get_running_loop()
        if wait_ms:
            loop.call_later(wait_ms / MS_PER_SECOND, self._take_as_gone, upstream)
        else:
            self._take_as_gone(upstream)

    def _take_as_gone(self, upstream: UpstreamId) -> None:
        known = self._known.get(upstream)
        if known is None or known.missing_since is None:
            return
        # It may serve for a little longer, so it is treated as leaving.
        self._gate.note_gone(upstream=upstream)
        self._changes.on_next(upstream)
        loop = asyncio.get_running_loop()
        loop.call_later(GONE_MEMORY_MS / MS_PER_SECOND, self._forget, upstream)

    def _forget(self, upstream: UpstreamId) -> None:
        known = self._known.get(upstream)
        if known is not None and known.missing_since is not None:
            del self._known[upstream]
            self._gate.forget(upstream=upstream)
