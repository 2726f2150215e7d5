"""Failure domains that operators have evacuated."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from tanagerscale.store import era_of

ENDED_RETENTION_MS: Final = 60_000
"""How long the end time of an evacuation is kept. Upstreams warm up within seconds."""

_log = get_logger(part="evacuations")

RETURN_GRACE_MS: Final = 2200
"""How long an evacuation stays in force when the store has come back from a copy without it.
Operators write again within about two seconds what they wrote since the copy."""

ParseDomain = Callable[[str], FailureDomainId | None]


@final
class Evacuations:
    """Tracks the failure domains whose upstreams must get no new requests.

    The last known evacuations stay in force while the store can't be read.

    :param parse_evacuated_domain: Parses a store key into the failure domain that it evacuates;
        returns ``None`` for keys that evacuate none.
    :param clock: Source of the current time.
    """

    def __init__(self, *, parse_evacuated_domain: ParseDomain, clock: Clock) -> None:
        self._parse_domain = parse_evacuated_domain
        self._clock = clock
        self._domains: frozenset[FailureDomainId] = frozenset()
        self._stored: frozenset[FailureDomainId] = frozenset()
        """The failure domains that the store has as evacuated."""
        self._kept: frozenset[FailureDomainId] = frozenset()
        """Those that were evacuated when the store came back from a copy without them."""
        self._era = 0
        self._ended_at: dict[FailureDomainId, Millis] = {}
        self._has_read = False
        self._changes: Subject[None] = Subject()

    @property
    def has_read(self) -> bool:
        """Whether the evacuations have been read since this host started."""
        return self._has_read

    @property
    def domains(self) -> frozenset[FailureDomainId]:
        """The evacuated failure domains."""
        return self._domains

    @property
    def changes(self) -> Observable[None]:
        """Emits after each change of the evacuated failure domains."""
        return self._changes

    def is_evacuated(self, domain: FailureDomainId) -> bool:
        """Return whether the upstreams of a failure domain must get no new requests."""
        return domain in self._domains

    def ms_since_end(self, domain: FailureDomainId) -> int | None:
        """Return the time since the evacuation of a failure domain ended, in milliseconds.

        :param domain: The failure domain.
        :returns: ``None`` if it was not evacuated or the end is no longer remembered.
        """
        ended_at = self._ended_at.get(domain)
        return None if ended_at is None else self._clock.now() - ended_at

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Replace the evacuations with the content of a full read of the store."""
        found = self._parse_domains(entry.key for entry in snapshot.entries)
        if self._has_read and era_of(snapshot.revision) > self._era:
            self._kept = self._domains - found
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_GRACE_MS / MS_PER_SECOND, self._end_kept, self._kept)
        self._era = era_of(snapshot.revision)
        self._has_read = True
        self._stored = found
        self._replace_domains(self._stored | self._kept)

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply changes that a watch of the store reports."""
        begun = self._parse_domains(entry.key for entry in batch.entries)
        ended = self._parse_domains(batch.deleted)
        self._stored = self._stored - ended | begun
        self._kept = self._kept - ended - begun
        self._replace_domains(self._stored | self._kept)

    def on_store_state(self, state: StoreState) -> None:
        """Do nothing; the last known evacuations stay in force during an outage."""

    def on_calls(self, *, answered: bool) -> None:
        """Do nothing; the last known evacuations stay in force while calls fail."""

    def _end_kept(self, domains: frozenset[FailureDomainId]) -> None:
        """End evacuations that nobody has written again since the store came back."""
        self._kept -= domains
        self._replace_domains(self._stored | self._kept)

    def _parse_domains(self, keys: Iterable[str]) -> frozenset[FailureDomainId]:
        domains = (self._parse_domain(key) for key in keys)
        return frozenset(domain for domain in domains if domain is not None)

    def _replace_domains(self, domains: frozenset[FailureDomainId]) -> None:
        before, self._domains = self._domains, domains
        if domains == before:
            return
        now = self._clock.now()
        self._ended_at = {
            domain: at for domain, at in self._ended_at.items() if now - at < ENDED_RETENTION_MS
        }
        for domain in sorted(domains - before):
            self._ended_at.pop(domain, None)
            _log.info("Failure domain evacuated.", failure_domain=domain)
        for domain in sorted(before - domains):
            self._ended_at[domain] = now
            _log.info("Failure domain evacuation ended.", failure_domain=domain)
        self._changes.on_next(None)
