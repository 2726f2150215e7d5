"""Leaving notices and departure times of engines."""

from __future__ import annotations

from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.policy import MIN_NOTICE_MS

LINK_RESERVATION_MS: Final = 1600
"""How long after a leaving notice the links are reserved for runs that must leave. Engines
are removed 1.5 to 2.1 s after their notice, and a copy that is not needed yet would delay one that
can't wait."""


@final
class Departures:
    """Records when the first leaving notice of each engine was received.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._noticed: dict[UpstreamId, Millis] = {}
        self._departure_times: dict[UpstreamId, Millis] = {}
        self._queried: set[UpstreamId] = set()

    def record_notice(self, upstream: UpstreamId) -> None:
        """Record that an engine is leaving."""
        if upstream in self._noticed:
            return
        now = self._clock.now()
        self._noticed = {
            engine: at
            for engine, at in self._noticed.items()
            if now - at < 10 * LINK_RESERVATION_MS
        }
        self._noticed[upstream] = now
        self._departure_times = {
            engine: at for engine, at in self._departure_times.items() if engine in self._noticed
        }
        self._departure_times[upstream] = Millis(now + MIN_NOTICE_MS)
        self._queried &= self._noticed.keys()

    def mark_queried(self, upstream: UpstreamId) -> bool:
        """Mark an engine as queried for its departure; return whether this is the first time."""
        if upstream in self._queried:
            return False
        self._queried.add(upstream)
        return True

    def noticed_at(self, upstream: UpstreamId) -> Millis:
        """Return when the leaving notice of an engine was received; now if never."""
        return self._noticed.get(upstream, self._clock.now())

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the notice of an engine that accepts work again."""
        self._noticed.pop(upstream, None)
        self._departure_times.pop(upstream, None)
        self._queried.discard(upstream)

    def extend_departure(self, upstream: UpstreamId, *, in_ms: int) -> None:
        """Apply the departure time an engine reports, unless it is earlier than assumed."""
        at = Millis(self._clock.now() + in_ms)
        if upstream in self._departure_times and at > self._departure_times[upstream]:
            self._departure_times[upstream] = at

    def set_departure(self, upstream: UpstreamId, *, in_ms: int) -> None:
        """Set the departure time of an engine that reported it before its notice was received."""
        if upstream in self._departure_times:
            self._departure_times[upstream] = Millis(self._clock.now() + max(in_ms, 0))
            self._queried.add(upstream)

    def departure_time(self, upstream: UpstreamId) -> Millis:
        """Return when an engine is expected to be gone."""
        return self._departure_times.get(upstream, self._clock.now())

    @property
    def are_links_reserved(self) -> bool:
        """Whether links are reserved for runs that are being moved off a leaving engine."""
        now = self._clock.now()
        return any(now - at < LINK_RESERVATION_MS for at in self._noticed.values())
