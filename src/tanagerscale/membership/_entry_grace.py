"""How long the entry of an upstream may be missing before the upstream counts as gone."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.membership._roster_records import UpstreamRecord

OUTAGE_GRACE_MS: Final = 2200
"""How long an entry may be missing after a store outage. Live upstreams rewrite their entries
within about two seconds after the store recovers."""

MASS_EXPIRY_WINDOW_MS: Final = 1000
MASS_EXPIRY_RATIO: Final = 0.34
"""Entries that disappear within one second and number at least about a third of the remaining ones
may have expired during an undetected store outage."""

MASS_EXPIRY_GRACE_MS: Final = 1800
"""How long entries of a mass expiry may be missing. In case the upstreams are really gone, it is
slightly less than the two seconds after which a leaving upstream must get no new requests."""


@final
class EntryGrace:
    """Tells real removals from entries that an outage of the store has lost.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._recovered_at = Millis(-OUTAGE_GRACE_MS)

    def record_recovery(self) -> None:
        """Record that the store is back, perhaps without some entries."""
        self._recovered_at = self._clock.now()

    def compute_ms(self, records: Sequence[UpstreamRecord]) -> int:
        """Return how long entries that have just disappeared may be missing, in milliseconds.

        :param records: The current incarnations of all upstreams.
        """
        now = self._clock.now()
        left_ms = max(self._recovered_at + OUTAGE_GRACE_MS - now, 0)
        if left_ms == 0 and _is_mass_expiry(records, now):
            return MASS_EXPIRY_GRACE_MS
        return left_ms


def _is_mass_expiry(records: Sequence[UpstreamRecord], now: Millis) -> bool:
    """Return whether so many entries disappeared at once that the store may have had an outage.

    A waiting watch does not reveal that its store is down.
    """
    recent = [
        record
        for record in records
        if record.missing_since is not None and now - record.missing_since < MASS_EXPIRY_WINDOW_MS
    ]
    present = sum(record.missing_since is None for record in records)
    return len(recent) > 1 and len(recent) >= present * MASS_EXPIRY_RATIO
