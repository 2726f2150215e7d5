"""Pauses that upstreams have asked this host for."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.upstreams._notices import UpstreamNotice

MAX_REQUESTS_IN_PAUSE: Final = 2
"""Requests that an upstream tolerates in a pause; they are kept for streams that would be lost."""

_log = get_logger(part="pauses")


@final
class UpstreamPauses:
    """Tracks which upstreams have asked this host to send them nothing for a while.

    A pause concerns the requests of this host only, so that it is neither sent to other hosts nor
    used when this host decides for them.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ends: dict[UpstreamId, Millis] = {}
        self._timers: dict[UpstreamId, asyncio.TimerHandle] = {}
        self._sent_in_pause: Counter[UpstreamId] = Counter()
        self._changes: Subject[UpstreamId] = Subject()

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Emits each upstream whose pause has begun or ended."""
        return self._changes

    @property
    def paused(self) -> frozenset[UpstreamId]:
        """The upstreams that get no requests now."""
        return frozenset(upstream for upstream in self._ends if self.is_paused(upstream))

    def is_paused(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream gets no requests now."""
        end = self._ends.get(upstream)
        return end is not None and self._clock.now() < end

    def take_allowance(self, upstream: UpstreamId) -> bool:
        """Return whether one request may be sent to an upstream in its pause, and count it."""
        if self._sent_in_pause[upstream] >= MAX_REQUESTS_IN_PAUSE:
            return False
        self._sent_in_pause[upstream] += 1
        return True

    def shortest_ms(self, upstreams: Iterable[UpstreamId]) -> int | None:
        """Return the time until the first of some upstreams may get requests again.

        :param upstreams: The upstreams.
        :returns: Milliseconds; ``None`` if one of them is not paused, or if there are none.
        """
        now = self._clock.now()
        left_ms = min((self._ends.get(one, now) - now for one in upstreams), default=0)
        return left_ms if left_ms > 0 else None

    def on_notice(self, notice: UpstreamNotice) -> None:
        """Record the pause that an upstream asks for in a response, if any."""
        if notice.pause_ms is not None:
            self.record(upstream=notice.upstream, pause_ms=notice.pause_ms)

    def record(self, *, upstream: UpstreamId, pause_ms: int) -> None:
        """Record a pause; of several pauses of one upstream the longest counts.

        :param upstream: The upstream.
        :param pause_ms: Length of the pause from now, in milliseconds.
        """
        if upstream in self._ends and not self.is_paused(upstream):
            self._end(upstream)
        now = self._clock.now()
        end = Millis(now + pause_ms)
        if end <= self._ends.get(upstream, now):
            return
        is_new = upstream not in self._ends
        self._ends[upstream] = end
        if not is_new:
            self._timers[upstream].cancel()
        # Add one millisecond because the clock truncates to whole milliseconds.
        self._timers[upstream] = asyncio.get_running_loop().call_later(
            (pause_ms + 1) / MS_PER_SECOND, self._end, upstream
        )
        if is_new:
            _log.info("An upstream asks for a pause.", upstream=upstream, pause_ms=pause_ms)
            self._changes.on_next(upstream)

    def _end(self, upstream: UpstreamId) -> None:
        del self._ends[upstream]
        self._sent_in_pause.pop(upstream, None)
        self._timers.pop(upstream).cancel()
        self._changes.on_next(upstream)
