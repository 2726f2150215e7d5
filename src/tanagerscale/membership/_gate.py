"""Which upstreams accept new requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from enum import Enum
from enum import unique
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
from tanagerscale.membership._upstream_version import UNKNOWN_VERSION
from tanagerscale.membership._upstream_version import UpstreamVersion

_MIN_BACKOFF_MS = 750
"""Must exceed the interval at which the owner polls an engine, so that failed polls keep a crashed
engine closed."""
_MAX_BACKOFF_MS = 6000

_LEAVING_TTL_MS = 600_000
"""How long a leaving notice holds if the host list has no incarnations; must exceed the lag of the
list."""

_OWN_NOTICE = UpstreamVersion(sequence=2**63 - 1)
"""Version of the leaving notice that an upstream itself gave in a response. It outranks any version
under which the entry of the upstream is rewritten."""

log = get_logger(part="gate")


@unique
class NoticeSource(Enum):
    """Where a host learned that an upstream is leaving."""

    STORE = "store"
    """From its entry, or because the entry is gone."""
    PEER = "peer"
    """From another host."""
    RESPONSE = "response"
    """From the upstream itself, in a response."""
    REFUSAL = "refusal"
    """From a refusal by the upstream, or by another one that now has its address."""


class _Breaker(Struct, kw_only=True):
    """Circuit breaker of one upstream.

    :param failures: Number of failed probes in a row.
    :param until: Time before which no probe may be sent.
    :param timer: Publishes the change when that time is reached.
    """

    failures: int = 0
    until: int = 0
    timer: asyncio.TimerHandle | None = None


@final
class UpstreamGate:
    """Tracks which upstreams are leaving and which are unreachable.

    The host list, a refusal by the upstream itself or a message from a peer each suffice to close
    an upstream. The first of these notices is broadcast to the peers. Only a newer incarnation
    reopens the upstream, so that a lagging host list does not. An upstream that has itself said
    that it is leaving stays closed if its id stands for one incarnation.

    :param clock: Source of the current time.
    :param rng: Random number generator used to add jitter to the probes of a failed upstream.
    :param broadcast: Sends a message to all peers.
    """

    def __init__(
        self, *, clock: Clock, rng: Random, broadcast: Callable[[UpstreamLeaving], None]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._broadcast = broadcast
        self._newest: dict[UpstreamId, UpstreamVersion] = {}
        """Newest version in which each upstream accepts requests."""
        self._leaving: dict[UpstreamId, UpstreamVersion] = {}
        """Newest version in which each upstream leaves."""
        self._leaving_noted_at: dict[UpstreamId, Millis] = {}
        self._learned_at: dict[UpstreamId, Millis] = {}
        """When the first host learned of each notice, by this host's clock."""
        self.ignored_notices: Counter[str] = Counter()
        """Notices that changed nothing, by the reason."""
        self._listed_leaving: frozenset[UpstreamId] = frozenset()
        self._breakers: dict[UpstreamId, _Breaker] = {}
        self._changes: Subject[UpstreamId] = Subject()

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Emits each upstream whose availability may have changed."""
        return self._changes

    def is_open(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream accepts new requests."""
        return not self.is_leaving(upstream) and not self.is_broken(upstream)

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether the current incarnation of an upstream is known to be leaving."""
        leaving = self._leaving.get(upstream)
        if leaving is None or leaving < self._get_newest(upstream):
            return False
        is_versioned = leaving != UNKNOWN_VERSION
        return is_versioned or upstream in self._listed_leaving or self._is_leaving_recent(upstream)

    def is_broken(self, upstream: UpstreamId) -> bool:
        """Return whether calls to an upstream failed and the next probe is not due yet."""
        breaker = self._breakers.get(upstream)
        return breaker is not None and self._clock.now() < breaker.until

    def on_host_list(self, entries: Sequence[ListedEntry]) -> None:
        """Apply a new version of the host list."""
        upstreams = [entry for entry in entries if entry.kind is ListedKind.UPSTREAM]
        self._listed_leaving = frozenset(
            UpstreamId(entry.id) for entry in upstreams if entry.state is ListedState.LEAVING
        )
        for entry in upstreams:
            upstream = UpstreamId(entry.id)
            self.record_incarnation(upstream=upstream, incarnation=entry.incarnation)
            if entry.state is ListedState.LEAVING:
                self.record_leaving(
                    upstream=upstream, incarnation=entry.incarnation, source=NoticeSource.STORE
                )

    def on_peer(self, message: UpstreamLeaving, *, host: str = "") -> None:
        """Handle a notice from a peer that an upstream is leaving.

        :param message: The notice.
        :param host: The peer, for the log.
        """
        self.record_leaving(
            upstream=UpstreamId(message.upstream),
            incarnation=message.incarnation,
            sequence=message.sequence,
            source=NoticeSource.PEER,
            host=host,
            age_ms=message.age_ms,
        )

    def record_leaving(
        self,
        *,
        upstream: UpstreamId,
        incarnation: int | None = None,
        sequence: int = 0,
        source: NoticeSource = NoticeSource.REFUSAL,
        host: str = "",
        age_ms: int = 0,
    ) -> None:
        """Close a leaving upstream and notify the peers, unless that is already known.

        :param upstream: The upstream.
        :param incarnation: The incarnation that is leaving; ``None`` means the newest known one,
            which is the one that a refusal by the upstream itself refers to.
        :param sequence: Number that the upstream gave to its statement; 0 if it numbers none.
        :param source: Where this host learned of it.
        :param host: The host that told of it, if another one did.
        :param age_ms: How long ago the first host learned of it, in milliseconds.
        """
        if incarnation is None:
            self._leaving_noted_at[upstream] = self._clock.now()
            version = self._get_newest(upstream)
        else:
            version = UpstreamVersion(sequence=sequence, revision=incarnation)
        known = self._leaving.get(upstream)
        if known is not None and known >= version:
            self._ignore_notice(upstream, version, source, host=host)
            return
        self._leaving_noted_at[upstream] = self._clock.now()
        if not self.is_leaving(upstream):
            self._learned_at[upstream] = Millis(self._clock.now() - age_ms)
        self._leaving[upstream] = version
        if version == UNKNOWN_VERSION:
            self._schedule_change(upstream, delay_ms=_LEAVING_TTL_MS)
        log.info(
            "Upstream is leaving.",
            upstream=upstream,
            sequence=version.sequence,
            incarnation=version.revision,
            is_own_notice=version == _OWN_NOTICE,
            learned_from=source.value,
            peer=host,
            age_ms=self._notice_age_ms(upstream),
            newest=self._get_newest(upstream),
        )
        self._broadcast(self._make_message(upstream))
        self._changes.on_next(upstream)

    def record_own_notice(self, *, upstream: UpstreamId) -> None:
        """Close an upstream for good because it says itself that it is leaving.

        Its entry may be rewritten or applied late and does not reopen it.

        :param upstream: The upstream; the id must stand for one incarnation only.
        """
        self.record_leaving(
            upstream=upstream,
            incarnation=_OWN_NOTICE.revision,
            sequence=_OWN_NOTICE.sequence,
            source=NoticeSource.RESPONSE,
        )
        self._leaving_noted_at[upstream] = self._clock.now()

    def expire_own_notice(self, *, upstream: UpstreamId) -> None:
        """Delete an upstream's own notice that is so old that the upstream has restarted since.

        :param upstream: An upstream whose restarts do not change its id.
        """
        is_own = self._leaving.get(upstream) == _OWN_NOTICE
        if is_own and not self._is_leaving_recent(upstream):
            del self._leaving[upstream]
            self._changes.on_next(upstream)

    def record_incarnation(
        self, *, upstream: UpstreamId, incarnation: int, sequence: int = 0
    ) -> None:
        """Record an incarnation of an upstream that accepts new requests.

        :param upstream: The upstream.
        :param incarnation: The incarnation; a notice that an earlier one is leaving does not close
            it.
        :param sequence: Number that the upstream gave to its statement; 0 if it numbers none.
        """
        version = UpstreamVersion(sequence=sequence, revision=incarnation)
        if version > self._get_newest(upstream):
            was_leaving = self.is_leaving(upstream)
            self._newest[upstream] = version
            if was_leaving and not self.is_leaving(upstream):
                self._log_reopened(upstream)
            self._changes.on_next(upstream)

    def record_gone(self, *, upstream: UpstreamId) -> None:
        """Close an upstream whose address has been reassigned to another upstream."""
        newest = self._get_newest(upstream)
        self.record_leaving(
            upstream=upstream,
            incarnation=max(newest.revision, 1),
            sequence=newest.sequence,
        )

    def forget(self, *, upstream: UpstreamId) -> None:
        """Delete the state of an upstream whose entry has been gone for long.

        A recent notice of the upstream itself is kept for longer, because the upstream may still
        run and its entry come back.
        """
        self._newest.pop(upstream, None)
        breaker = self._breakers.pop(upstream, None)
        if breaker is not None and breaker.timer is not None:
            breaker.timer.cancel()
        is_own_notice = self._leaving.get(upstream) == _OWN_NOTICE
        if is_own_notice and self._is_leaving_recent(upstream):
            loop = asyncio.get_running_loop()
            loop.call_later(_LEAVING_TTL_MS / MS_PER_SECOND, self._forget_notice, upstream)
        else:
            self._forget_notice(upstream)

    def _forget_notice(self, upstream: UpstreamId) -> None:
        self._leaving.pop(upstream, None)
        self._leaving_noted_at.pop(upstream, None)
        self._learned_at.pop(upstream, None)

    def leaving_for_ms(self, upstream: UpstreamId) -> int | None:
        """Return how long an upstream has been known to be leaving, in milliseconds.

        :param upstream: The upstream.
        :returns: Time since the first host learned of it; ``None`` if it is not leaving.
        """
        return self._notice_age_ms(upstream) if self.is_leaving(upstream) else None

    def _notice_age_ms(self, upstream: UpstreamId) -> int:
        now = self._clock.now()
        return now - self._learned_at.get(upstream, now)

    def _get_newest(self, upstream: UpstreamId) -> UpstreamVersion:
        return self._newest.get(upstream, UNKNOWN_VERSION)

    def _make_message(self, upstream: UpstreamId) -> UpstreamLeaving:
        version = self._leaving[upstream]
        return UpstreamLeaving(
            upstream=upstream,
            incarnation=version.revision,
            sequence=version.sequence,
            age_ms=self._notice_age_ms(upstream),
        )

    def _ignore_notice(
        self, upstream: UpstreamId, version: UpstreamVersion, source: NoticeSource, *, host: str
    ) -> None:
        known = self._leaving[upstream]
        reason = "repeated" if known == version else "older"
        self.ignored_notices[reason] += 1
        # Each answer of a leaving upstream and each of its heartbeats repeats the notice.
        if known == version:
            return
        log.info(
            "A notice of an upstream is ignored.",
            upstream=upstream,
            reason=reason,
            version=version,
            known=known,
            learned_from=source.value,
            peer=host,
            age_ms=self._notice_age_ms(upstream),
        )

    def _log_reopened(self, upstream: UpstreamId) -> None:
        log.info(
            "An upstream accepts requests again.",
            upstream=upstream,
            version=self._newest[upstream],
            left=self._leaving[upstream],
            was_leaving_ms=self._notice_age_ms(upstream),
        )

    def _schedule_change(self, upstream: UpstreamId, *, delay_ms: int) -> asyncio.TimerHandle:
        """Schedule a change notification for a change that only the passage of time causes."""
        # Add one millisecond because the clock truncates to whole milliseconds.
        delay_s = (delay_ms + 1) / MS_PER_SECOND
        return asyncio.get_running_loop().call_later(delay_s, self._changes.on_next, upstream)

    def _is_leaving_recent(self, upstream: UpstreamId) -> bool:
        return self._clock.now() - self._leaving_noted_at[upstream] < _LEAVING_TTL_MS

    def leaving_messages(self) -> tuple[UpstreamLeaving, ...]:
        """Return the leaving notices to send to a newly connected host."""
        return tuple(
            self._make_message(upstream) for upstream in self._leaving if self.is_leaving(upstream)
        )

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream was unreachable and back off before the next probe."""
        breaker = self._breakers.setdefault(upstream, _Breaker())
        is_probe = not self.is_broken(upstream)
        if is_probe:
            breaker.failures += 1
        # Concurrent calls fail together, so only a failed probe doubles the backoff. The upstream
        # stays closed as long as calls keep failing.
        doublings = breaker.failures - 1 if is_probe else 0
        backoff_ms = min(_MIN_BACKOFF_MS * 2**doublings, _MAX_BACKOFF_MS)
        until = self._clock.now() + int(backoff_ms * self._rng.uniform(0.75, 1.25))
        if until <= breaker.until:
            return
        breaker.until = until
        if breaker.timer is not None:
            breaker.timer.cancel()
        breaker.timer = self._schedule_change(upstream, delay_ms=until - self._clock.now())
        if is_probe:
            self._changes.on_next(upstream)

    def forget_failures(self) -> None:
        """Close all circuit breakers, since this host itself reached no upstream."""
        for upstream in list(self._breakers):
            self.record_success(upstream=upstream)

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream responded, which resets its circuit breaker."""
        breaker = self._breakers.pop(upstream, None)
        if breaker is None:
            return
        if breaker.timer is not None:
            breaker.timer.cancel()
        self._changes.on_next(upstream)
