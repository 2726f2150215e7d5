"""Generations that this host has refused with a return time, and returns that it has served."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.generated.messages import RefusedGeneration
from tanagerscale.policy import MAX_OVERDUE_MS

MAX_LISTED: Final = 64
"""Maximum number of refused generations that a host lists, and of returns. 75 hosts refuse about
one generation a second each."""

MAX_REPORTED: Final = 16
"""Maximum number of each in a report; the rest follow as these expire. It keeps reports below 5 KB
in a fault."""

RETURNED_TTL_MS: Final = 2 * MAX_OVERDUE_MS
"""How long a used reservation is reported; by then it has expired at all coordinators."""


@final
class RefusedGenerations:
    """Lists refused generations until their reservations expire.

    :param clock: Source of time.
    :param on_change: Called when the lists have changed.
    """

    def __init__(self, *, clock: Clock, on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._refused: dict[str, tuple[Millis, RefusedGeneration]] = {}
        self._returned: dict[str, Millis] = {}

    def record_refused(self, refused: RefusedGeneration) -> None:
        """List a refused generation whose capacity is reserved."""
        self._prune()
        if len(self._refused) < MAX_LISTED:
            return_at = Millis(self._clock.now() + refused.return_ms)
            self._refused[refused.fingerprint] = return_at, refused
            self._on_change()

    def record_returned(self, fingerprint: str) -> None:
        """List a generation that has used its reservation."""
        self._prune()
        if len(self._returned) < MAX_LISTED:
            self._returned[fingerprint] = Millis(self._clock.now() + RETURNED_TTL_MS)
        self._refused.pop(fingerprint, None)
        self._on_change()

    def refused(self) -> list[RefusedGeneration]:
        """Return the first refused generations to return, with the time until then."""
        self._prune()
        now = self._clock.now()
        return [
            RefusedGeneration(
                fingerprint=one.fingerprint,
                service=one.service,
                account=one.account,
                priority=one.priority,
                tokens=one.tokens,
                is_long=one.is_long,
                return_ms=return_at - now,
            )
            for return_at, one in sorted(self._refused.values(), key=lambda kept: kept[0])[
                :MAX_REPORTED
            ]
        ]

    def returned(self) -> list[str]:
        """Return the fingerprints of the last generations that have used a reservation."""
        self._prune()
        return list(self._returned)[-MAX_REPORTED:]

    def _prune(self) -> None:
        now = self._clock.now()
        self._refused = {
            one: kept for one, kept in self._refused.items() if kept[0] + MAX_OVERDUE_MS > now
        }
        self._returned = {one: until for one, until in self._returned.items() if until > now}
