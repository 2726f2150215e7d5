"""Which failure domains the operators have evacuated."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.store import StoreRange
from tanagerscale.store import WatchBatch

RETURN_MEMORY_MS: Final = 60_000
"""How long it is known when an evacuation ended. Upstreams warm up within seconds."""

_log = get_logger(part="evacuations")

DomainOf = Callable[[str], FailureDomainId | None]


@final
class Evacuations:
    """Keeps which failure domains are to get no new requests.

    What is known stays in force while the store can't be read.

    :param domain_of: Returns which failure domain a key of the store evacuates; ``None`` for keys
        that evacuate none.
    :param clock: Time.
    """

    def __init__(self, *, domain_of: DomainOf, clock: Clock) -> None:
        self._domain_of = domain_of
        self._clock = clock
        self._domains: frozenset[FailureDomainId] = frozenset()
        self._ended_at: dict[FailureDomainId, Millis] = {}
        self._has_read = False
        self._changes: Subject[None] = Subject()

    @property
    def has_read(self) -> bool:
        """Whether the evacuations were read once since this host started."""
        return self._has_read

    @property
    def domains(self) -> frozenset[FailureDomainId]:
        """The failure domains that are evacuated."""
        return self._domains

    @property
    def changes(self) -> Observable[None]:
        """Fires after each change."""
        return self._changes

    def is_evacuated(self, domain: FailureDomainId) -> bool:
        """Return whether the upstreams of a failure domain are to get no new requests."""
        return domain in self._domains

    def ended_ms(self, domain: FailureDomainId) -> int | None:
        """Return how long ago the evacuation of a failure domain ended; ``None`` for long ago."""
        ended_at = self._ended_at.get(domain)
        return None if ended_at is None else self._clock.now() - ended_at

    def on_snapshot(self, found: StoreRange) -> None:
        """Take in all keys at once."""
        self._has_read = True
        self._set(self._known(entry.key for entry in found.entries))

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in changes."""
        begun = self._known(entry.key for entry in batch.entries)
        self._set(self._domains - self._known(batch.deleted) | begun)

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Do nothing: what is known stays in force."""

    def on_calls(self, *, answered: bool) -> None:
        """Do nothing: what is known stays in force."""

    def _known(self, keys: Iterable[str]) -> frozenset[FailureDomainId]:
        domains = (self._domain_of(key) for key in keys)
        return frozenset(domain for domain in domains if domain is not None)

    def _set(self, domains: frozenset[FailureDomainId]) -> None:
        before, self._domains = self._domains, domains
        if domains == before:
            return
        now = self._clock.now()
        self._ended_at = {
            domain: at for domain, at in self._ended_at.items() if now - at < RETURN_MEMORY_MS
        }
        for domain in sorted(domains - before):
            self._ended_at.pop(domain, None)
            _log.info("A failure domain is evacuated.", failure_domain=domain)
        for domain in sorted(before - domains):
            self._ended_at[domain] = now
            _log.info("A failure domain takes requests again.", failure_domain=domain)
        self._changes.on_next(None)
