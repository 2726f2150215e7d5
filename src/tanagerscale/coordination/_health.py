"""Outlier detection: upstreams that fail requests although their health checks pass."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import AnswerTallies
from tanagerscale.generated.messages import EjectedUpstream
from tanagerscale.policy import Tally
from tanagerscale.policy import is_outlier
from tanagerscale.policy import select_ejections
from tanagerscale.upstreams import UpstreamEntry

WINDOW_MS: Final = 4000
"""Length of the window of counted responses. In it, all hosts together observe some 25 responses of
an upstream that handles a third of 20 requests a second."""

BASE_EJECTION_MS: Final = 3000
MAX_EJECTION_MS: Final = 12_000
"""The first ejection lasts about as long as a transient fault of an upstream; each further one
within a minute lasts twice as long. After an ejection, ordinary requests probe the upstream again,
which costs about three failed requests."""

EJECTION_RESET_MS: Final = 60_000
"""Time after which earlier ejections no longer count."""

TALLY_INTERVAL_MS: Final = 500
"""Interval at which failures are reported to the coordinators, so that a failing upstream is
ejected within a second or two."""

NEVER: Final = Millis(0)

_log = get_logger(part="health")


class _ResponseHistory(Struct, kw_only=True):
    """Responses of one upstream to this host, and its ejections."""

    results: deque[tuple[Millis, bool]] = field(default_factory=deque)
    ejections: int = 0
    ejected_until: Millis = NEVER
    rate: float = 0.0


@final
class UpstreamHealth:
    """Ejects upstreams with a much higher failure rate than other upstreams of their service.

    :param service_of: Returns the service of an upstream; ``None`` when it is unknown.
    :param can_eject: Returns whether this host decides which upstreams are ejected; other hosts
        send it their tallies and receive its ejections.
    :param is_doubtful: Returns whether this host may reach no upstream, so that its failures don't
        count yet.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        service_of: Callable[[UpstreamId], ServiceId | None],
        can_eject: Callable[[], bool] = lambda: True,
        is_doubtful: Callable[[], bool] = lambda: False,
        clock: Clock,
    ) -> None:
        self._service_of = service_of
        self._can_eject = can_eject
        self._is_doubtful = is_doubtful
        self._clock = clock
        self._own_responses: dict[UpstreamId, _ResponseHistory] = defaultdict(_ResponseHistory)
        self._peer_tallies: dict[HostId, dict[UpstreamId, Tally]] = {}
        self._published = AnswerTallies()
        self._timer: asyncio.TimerHandle | None = None
        self._tally_updates: Subject[AnswerTallies] = Subject()
        self._ejections: Subject[EjectedUpstream] = Subject()

    @property
    def tally_updates(self) -> Observable[AnswerTallies]:
        """Emits the tallies to send to the coordinators."""
        return self._tally_updates

    @property
    def ejections(self) -> Observable[EjectedUpstream]:
        """Emits the ejections made by this host, to be sent to all hosts."""
        return self._ejections

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Record a complete response that arrived in time."""
        self._own_responses[upstream].results.append((self._clock.now(), True))

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Record an error, or a response that is broken, late or missing."""
        self._own_responses[upstream].results.append((self._clock.now(), False))
        self._check_outlier(upstream)
        self._schedule_publish()

    def forget_own_failures(self) -> None:
        """Drop the failures that this host has seen, since it reaches no upstream."""
        for responses in self._own_responses.values():
            responses.results = deque(one for one in responses.results if one[1])
        self._publish_tallies()

    def on_peer(self, *, host: HostId, tallies: AnswerTallies) -> None:
        """Store the tallies of a peer."""
        self._peer_tallies[host] = {
            UpstreamId(upstream): Tally(good=good, bad=bad)
            for upstream, (good, bad) in tallies.upstreams.items()
        }
        for upstream in list(self._peer_tallies[host]):
            self._check_outlier(upstream)

    def on_ejected(self, message: EjectedUpstream) -> None:
        """Apply an ejection that the decider has made."""
        responses = self._own_responses[UpstreamId(message.upstream)]
        responses.ejected_until = Millis(self._clock.now() + message.for_ms)
        responses.rate = message.rate
        responses.results.clear()
        _log.info(
            "Another host has ejected an upstream.", upstream=message.upstream, rate=message.rate
        )

    def forget_peer(self, *, host: HostId) -> None:
        """Drop the tallies of a host that has disconnected."""
        self._peer_tallies.pop(host, None)

    def exclude_ejected(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return those upstreams of a service that are not ejected."""
        now = self._clock.now()
        ejected = {
            entry.upstream: responses.rate
            for entry in entries
            if (responses := self._own_responses.get(entry.upstream)) is not None
            and responses.ejected_until > now
        }
        if not ejected:
            return list(entries)
        excluded = select_ejections(ejected, siblings=len(entries))
        return [entry for entry in entries if entry.upstream not in excluded]

    def _schedule_publish(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TALLY_INTERVAL_MS / MS_PER_SECOND, self._publish_tallies)

    def _publish_tallies(self) -> None:
        """Publish the tallies of upstreams with recent failures, if they have changed."""
        self._timer = None
        self._forget_expired()
        if self._is_doubtful() and self._has_own_failures:
            self._schedule_publish()
            return
        tallies = {upstream: self._own_tally(upstream) for upstream in self._own_responses}
        message = AnswerTallies(
            upstreams={
                str(upstream): [tally.good, tally.bad]
                for upstream, tally in tallies.items()
                if tally.bad
            }
        )
        if message != self._published:
            self._published = message
            self._tally_updates.on_next(message)
        if message.upstreams:
            self._schedule_publish()

    @property
    def _has_own_failures(self) -> bool:
        return any(
            not is_good
            for responses in self._own_responses.values()
            for _, is_good in responses.results
        )

    def _check_outlier(self, upstream: UpstreamId) -> None:
        responses = self._own_responses[upstream]
        now = self._clock.now()
        service = self._service_of(upstream)
        if service is None or responses.ejected_until > now or not self._can_eject():
            return
        if self._is_doubtful() and self._own_tally(upstream).bad:
            return
        own = self._tally(upstream)
        others = Tally()
        for other in self._known_upstreams():
            if other != upstream and self._service_of(other) == service:
                others = others.plus(self._tally(other))
        if is_outlier(own=own, others=others):
            self._eject(upstream, own, others)

    def _eject(self, upstream: UpstreamId, own: Tally, others: Tally) -> None:
        responses = self._own_responses[upstream]
        now = self._clock.now()
        if now - responses.ejected_until > EJECTION_RESET_MS:
            responses.ejections = 0
        for_ms = min(BASE_EJECTION_MS * 2**responses.ejections, MAX_EJECTION_MS)
        responses.ejections += 1
        responses.ejected_until = Millis(now + for_ms)
        responses.rate = own.rate
        responses.results.clear()
        for tallies in self._peer_tallies.values():
            tallies.pop(upstream, None)
        _log.warning(
            "An upstream is ejected.",
            upstream=upstream,
            for_ms=for_ms,
            bad=own.bad,
            good=own.good,
            others_bad=others.bad,
            others_good=others.good,
        )
        self._ejections.on_next(
            EjectedUpstream(upstream=upstream, for_ms=for_ms, rate=round(own.rate, 3))
        )

    def _known_upstreams(self) -> set[UpstreamId]:
        known = set(self._own_responses)
        for tallies in self._peer_tallies.values():
            known.update(tallies)
        return known

    def _tally(self, upstream: UpstreamId) -> Tally:
        tally = self._own_tally(upstream)
        for tallies in self._peer_tallies.values():
            tally = tally.plus(tallies.get(upstream, Tally()))
        return tally

    def _own_tally(self, upstream: UpstreamId) -> Tally:
        responses = self._own_responses.get(upstream)
        if responses is None:
            return Tally()
        self._drop_expired(responses)
        good = sum(is_good for _, is_good in responses.results)
        return Tally(good=good, bad=len(responses.results) - good)

    def _drop_expired(self, responses: _ResponseHistory) -> None:
        oldest = self._clock.now() - WINDOW_MS
        while responses.results and responses.results[0][0] < oldest:
            responses.results.popleft()

    def _forget_expired(self) -> None:
        now = self._clock.now()
        for upstream, responses in list(self._own_responses.items()):
            self._drop_expired(responses)
            if not responses.results and now - responses.ejected_until > EJECTION_RESET_MS:
                del self._own_responses[upstream]


@final
class AttemptHealthRecorder:
    """Records the outcome of an attempt in its upstream's health, or a failure once it is late.

    :param health: Health of the upstreams.
    :param entry: The upstream.
    :param after_ms: Time in milliseconds after which the response counts as late.
    """

    def __init__(self, *, health: UpstreamHealth, entry: UpstreamEntry, after_ms: int) -> None:
        self._health = health
        self._entry = entry
        self._is_recorded = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_ms / MS_PER_SECOND, self._on_late)

    def end(self, *, is_good: bool) -> None:
        """Record the outcome, unless the attempt has already been recorded as late."""
        self._timer.cancel()
        if self._is_recorded:
            return
        self._is_recorded = True
        if is_good:
            self._health.record_success(upstream=self._entry.upstream)
        else:
            self._health.record_failure(upstream=self._entry.upstream)

    def cancel(self) -> None:
        """Stop the timer of an attempt cancelled before it was late; its outcome is unknown."""
        self._timer.cancel()

    def _on_late(self) -> None:
        self._is_recorded = True
        self._health.record_failure(upstream=self._entry.upstream)
