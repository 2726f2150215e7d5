"""Which upstreams take new work."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import final

from msgspec import Struct
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState

_FIRST_BREAK_MS = 750
"""Longer than the time between two reads by the owner, which thus keep a dead engine closed."""
_LONGEST_BREAK_MS = 6000

_LEAVING_MEMORY_MS = 600_000
"""How long a word of leaving holds where the list tells no incarnations, longer than any lag."""

log = get_logger(part="gate")


class _Breaker(Struct, kw_only=True):
    failures: int = 0
    until: int = 0
    timer: asyncio.TimerHandle | None = None


@final
class UpstreamGate:
    """Knows which upstreams are leaving and which can't be reached.

    The host list, an upstream's own refusal and a peer's word each suffice to close an upstream.
    The first of them is spread to the peers. Only a later life of the upstream opens it again,
    so a list that lags behind does not.

    :param clock: Time.
    :param rng: Spreads the probes of a failed upstream.
    :param spread: Tells the peers.
    """

    def __init__(
        self, *, clock: Clock, rng: Random, spread: Callable[[UpstreamLeaving], None]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._spread = spread
        self._listed: dict[UpstreamId, int] = {}
        self._leaving: dict[UpstreamId, int] = {}
        self._heard: dict[UpstreamId, Millis] = {}
        self._listed_leaving: frozenset[UpstreamId] = frozenset()
        self._breakers: dict[UpstreamId, _Breaker] = {}
        self._changes: Subject[UpstreamId] = Subject()

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Each upstream whose openness may have changed."""
        return self._changes

    def is_open(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream takes new work."""
        return not self.is_leaving(upstream) and not self.is_broken(upstream)

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream's present life is known to end."""
        leaving = self._leaving.get(upstream)
        if leaving is None or leaving < self._listed.get(upstream, 0):
            return False
        return leaving > 0 or upstream in self._listed_leaving or self._is_recent(upstream)

    def is_broken(self, upstream: UpstreamId) -> bool:
        """Return whether calls to an upstream failed and it is not yet time for a probe."""
        breaker = self._breakers.get(upstream)
        return breaker is not None and self._clock.now() < breaker.until

    def on_list(self, entries: Sequence[ListedEntry]) -> None:
        """Take in the host list."""
        upstreams = [entry for entry in entries if entry.kind is ListedKind.UPSTREAM]
        self._listed_leaving = frozenset(
            UpstreamId(entry.id) for entry in upstreams if entry.state is ListedState.LEAVING
        )
        for entry in upstreams:
            upstream = UpstreamId(entry.id)
            self.note_listed(upstream=upstream, incarnation=entry.incarnation)
            if entry.state is ListedState.LEAVING:
                self.note_leaving(upstream=upstream, incarnation=entry.incarnation)

    def on_peer(self, message: UpstreamLeaving) -> None:
        """Take in a peer's word."""
        upstream = UpstreamId(message.upstream)
        self.note_leaving(upstream=upstream, incarnation=message.incarnation)

    def note_leaving(self, *, upstream: UpstreamId, incarnation: int | None = None) -> None:
        """Close a leaving upstream and tell the peers, unless that is known already.

        :param upstream: The upstream.
        :param incarnation: Which life of it ends; ``None`` means the one listed now, which is
            what its own refusal is about.
        """
        life = self._listed.get(upstream, 0) if incarnation is None else incarnation
        if incarnation is None:
            self._heard[upstream] = self._clock.now()
        if self._leaving.get(upstream, -1) >= life:
            return
        self._heard[upstream] = self._clock.now()
        self._leaving[upstream] = life
        if life == 0:
            self._tell_later(upstream, delay_ms=_LEAVING_MEMORY_MS)
        log.info("Upstream is leaving.", upstream=upstream, incarnation=life)
        self._spread(UpstreamLeaving(upstream=upstream, incarnation=life))
        self._changes.on_next(upstream)

    def note_listed(self, *, upstream: UpstreamId, incarnation: int) -> None:
        """Record a life of an upstream that takes new work.

        :param upstream: The upstream.
        :param incarnation: Which life it is; word that an earlier one leaves does not close it.
        """
        if incarnation > self._listed.get(upstream, 0):
            self._listed[upstream] = incarnation
            self._changes.on_next(upstream)

    def note_gone(self, *, upstream: UpstreamId) -> None:
        """Close an upstream whose address another one has now."""
        self.note_leaving(upstream=upstream, incarnation=max(self._listed.get(upstream, 0), 1))

    def forget(self, *, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream whose id will not come again."""
        self._leaving.pop(upstream, None)
        self._heard.pop(upstream, None)
        self._listed.pop(upstream, None)
        breaker = self._breakers.pop(upstream, None)
        if breaker is not None and breaker.timer is not None:
            breaker.timer.cancel()

    def _tell_later(self, upstream: UpstreamId, *, delay_ms: int) -> asyncio.TimerHandle:
        """Publish a change that comes by time alone."""
        # One millisecond more, as the clock cuts fractions off.
        delay_s = (delay_ms + 1) / MS_PER_SECOND
        return asyncio.get_running_loop().call_later(delay_s, self._changes.on_next, upstream)

    def _is_recent(self, upstream: UpstreamId) -> bool:
        return self._clock.now() - self._heard[upstream] < _LEAVING_MEMORY_MS

    def leaving_messages(self) -> tuple[UpstreamLeaving, ...]:
        """Return what a host that has just connected should know."""
        return tuple(
            UpstreamLeaving(upstream=upstream, incarnation=life)
            for upstream, life in self._leaving.items()
            if self.is_leaving(upstream)
        )

    def note_down(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream could not be reached; it rests before the next probe."""
        breaker = self._breakers.setdefault(upstream, _Breaker())
        probing = not self.is_broken(upstream)
        if probing:
            breaker.failures += 1
        # Calls made together fail together, so only a failed probe makes the rest longer; but
        # the upstream stays closed while calls go on failing.
        doublings = breaker.failures - 1 if probing else 0
        rest = min(_FIRST_BREAK_MS * 2**doublings, _LONGEST_BREAK_MS)
        until = self._clock.now() + int(rest * self._rng.uniform(0.75, 1.25))
        if until <= breaker.until:
            return
        breaker.until = until
        if breaker.timer is not None:
            breaker.timer.cancel()
        breaker.timer = self._tell_later(upstream, delay_ms=until - self._clock.now())
        if probing:
            self._changes.on_next(upstream)

    def note_up(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream has answered."""
        breaker = self._breakers.pop(upstream, None)
        if breaker is None:
            return
        if breaker.timer is not None:
            breaker.timer.cancel()
        self._changes.on_next(upstream)
