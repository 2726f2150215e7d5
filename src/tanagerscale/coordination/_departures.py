"""When engines were heard to leave."""

from __future__ import annotations

from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.policy import MIN_NOTICE_MS

LINKS_BUSY_MS: Final = 1600
"""After a notice the engines' links are kept for what must leave. Engines go 1.5 to 2.1 s after
their notice, and a copy that nobody needs yet would hold up one that can't wait."""


@final
class Departures:
    """Keeps when each engine was first heard to leave.

    :param clock: Time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._noticed: dict[UpstreamId, Millis] = {}
        self._gone: dict[UpstreamId, Millis] = {}
        self._asked: set[UpstreamId] = set()

    def note(self, upstream: UpstreamId) -> None:
        """Record that an engine leaves."""
        if upstream in self._noticed:
            return
        now = self._clock.now()
        self._noticed = {
            engine: at for engine, at in self._noticed.items() if now - at < 10 * LINKS_BUSY_MS
        }
        self._noticed[upstream] = now
        self._gone = {engine: at for engine, at in self._gone.items() if engine in self._noticed}
        self._gone[upstream] = Millis(now + MIN_NOTICE_MS)
        self._asked &= self._noticed.keys()

    def ask_once(self, upstream: UpstreamId) -> bool:
        """Return whether an engine is still to be asked when it goes; the caller asks it."""
        if upstream in self._asked:
            return False
        self._asked.add(upstream)
        return True

    def noticed_at(self, upstream: UpstreamId) -> Millis:
        """Return when an engine was heard to leave; now when it was not."""
        return self._noticed.get(upstream, self._clock.now())

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what was heard of an engine that takes work after all."""
        self._noticed.pop(upstream, None)
        self._gone.pop(upstream, None)
        self._asked.discard(upstream)

    def note_end(self, upstream: UpstreamId, *, in_ms: int) -> None:
        """Take in an engine's own word of when it goes; it can only be later than assumed."""
        at = Millis(self._clock.now() + in_ms)
        if upstream in self._gone and at > self._gone[upstream]:
            self._gone[upstream] = at

    def correct_end(self, upstream: UpstreamId, *, in_ms: int) -> None:
        """Take in when an engine goes that told so before its notice was heard."""
        if upstream in self._gone:
            self._gone[upstream] = Millis(self._clock.now() + max(in_ms, 0))
            self._asked.add(upstream)

    def gone_at(self, upstream: UpstreamId) -> Millis:
        """Return when an engine is expected to be gone."""
        return self._gone.get(upstream, self._clock.now())

    @property
    def links_busy(self) -> bool:
        """Whether runs are being copied away from an engine now."""
        now = self._clock.now()
        return any(now - at < LINKS_BUSY_MS for at in self._noticed.values())
