"""Capacity that is reserved for callers that were refused and told when to return.

Workload: many callers are refused together, for example while a part of the engines is gone. They
return one after the other at their times, or early, late or never.
"""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.core import Millis

MAX_EARLY_MS: Final = 150
"""How long before its time a caller may return: a response and a request take some milliseconds,
and callers' timers are not exact."""

MAX_OVERDUE_MS: Final = 2000
"""How long after its time a caller may return. Until then its capacity is not given to others."""

HOLD_MS: Final = 500
"""How long a reservation is kept after the last evaluation in which its caller waited. The queue is
evaluated every 50 ms, and a host whose ask was withdrawn sends another one at once."""

MAX_RESERVATIONS: Final = 4096
"""Maximum number of reservations. A decider refuses about 40 generations a second for 13 s at
most; the rest are treated as new."""


class Reservation(Struct, frozen=True, kw_only=True):
    """Capacity for the return of one refused generation.

    :param fingerprint: Hash that all attempts of the caller share.
    :param service: Service of the generation.
    :param tokens: Length of its prompt in tokens.
    :param is_long: Whether its answer may take seconds.
    :param return_at: When the caller should return.
    :param held_until: Until when it is kept for a caller that has returned and waits.
    """

    fingerprint: str
    service: str
    tokens: int
    is_long: bool
    return_at: Millis
    held_until: Millis = Millis(0)

    @property
    def expires_at(self) -> Millis:
        """When the capacity is released if the caller has not returned."""
        return Millis(max(self.return_at + MAX_OVERDUE_MS, self.held_until))


@final
class RetrySchedule:
    """Keeps the reservations of refused callers. Each is used once.

    Requests with the same fingerprint share one reservation, the last one that was made.
    """

    def __init__(self) -> None:
        self._reservations: dict[str, Reservation] = {}
        self._used: dict[str, Millis] = {}
        """Return times of used reservations, which reports must not restore."""
        self.made = 0
        self.used = 0
        self.expired = 0

    def __len__(self) -> int:
        """Return the number of reservations, including those that expire at the next use."""
        return len(self._reservations)

    def __contains__(self, fingerprint: str) -> bool:
        """Return whether a caller has a reservation, which may expire at the next use."""
        return fingerprint in self._reservations

    def reserve(self, reservation: Reservation, *, now: Millis) -> bool:
        """Add a reservation; return whether there was space for it."""
        self._expire(now)
        if not reservation.fingerprint or not self._has_space(reservation.fingerprint):
            return False
        self._used.pop(reservation.fingerprint, None)
        self._reservations[reservation.fingerprint] = reservation
        self.made += 1
        return True

    def restore(self, reservation: Reservation, *, now: Millis) -> None:
        """Add a reservation that another decider has made, unless it is known or over."""
        fingerprint = reservation.fingerprint
        if fingerprint in self._reservations or reservation.expires_at <= now:
            return
        used = self._used.get(fingerprint)
        if used is not None and reservation.return_at <= used + MAX_EARLY_MS:
            return
        if fingerprint and self._has_space(fingerprint):
            self._reservations[fingerprint] = reservation

    def find(self, fingerprint: str, *, now: Millis) -> Reservation | None:
        """Return the reservation of a caller that returns in its time."""
        self._expire(now)
        reservation = self._reservations.get(fingerprint)
        if reservation is None or now < reservation.return_at - MAX_EARLY_MS:
            return None
        return reservation

    def hold(self, fingerprint: str, *, now: Millis) -> None:
        """Keep the reservation of a caller that has returned and waits."""
        reservation = self._reservations.get(fingerprint)
        if reservation is not None:
            held_until = Millis(now + HOLD_MS)
            self._reservations[fingerprint] = replace(reservation, held_until=held_until)

    def use(self, fingerprint: str, *, now: Millis) -> None:
        """Remove the reservation of a caller that has been decided on."""
        self.used += 1
        self.drop_used(fingerprint, now=now)

    def drop_used(self, fingerprint: str, *, now: Millis) -> None:
        """Remove a reservation that was used at another decider, if it is known."""
        reservation = self._reservations.get(fingerprint)
        if reservation is not None and now < reservation.return_at - MAX_EARLY_MS:
            return  # It belongs to a later refusal.
        self._reservations.pop(fingerprint, None)
        if len(self._used) < MAX_RESERVATIONS:
            return_at = now if reservation is None else reservation.return_at
            self._used.setdefault(fingerprint, return_at)

    def pending(self, service: str, *, now: Millis) -> list[Reservation]:
        """Return the reservations of a service."""
        self._expire(now)
        return [one for one in self._reservations.values() if one.service == service]

    def _has_space(self, fingerprint: str) -> bool:
        return fingerprint in self._reservations or len(self._reservations) < MAX_RESERVATIONS

    def _expire(self, now: Millis) -> None:
        forget_before = now - 2 * MAX_OVERDUE_MS
        self._used = {one: at for one, at in self._used.items() if at > forget_before}
        expired = [one for one, kept in self._reservations.items() if kept.expires_at <= now]
        for fingerprint in expired:
            del self._reservations[fingerprint]
        self.expired += len(expired)
