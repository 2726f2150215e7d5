"""What requests show of upstreams whose health checks are good."""

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
"""How far back answers count. In it all hosts together see some 25 answers of an upstream that
takes a third of 20 requests a second."""

FIRST_EJECTION_MS: Final = 3000
LONGEST_EJECTION_MS: Final = 12_000
"""A first ejection is about as long as what ails upstreams for a moment; each that follows within
a minute is twice as long. After it ordinary requests try the upstream again, at the price of three
of them."""

FORGIVEN_MS: Final = 60_000
"""Time after which an ejection is as if there had been none."""

TELL_MS: Final = 500
"""How often those that coordinate hear of bad answers; an upstream that fails is ejected within a
second or two."""

NEVER: Final = Millis(0)

_log = get_logger(part="health")


class _Answers(Struct, kw_only=True):
    """Answers of one upstream to this host, and its ejections."""

    seen: deque[tuple[Millis, bool]] = field(default_factory=deque)
    ejections: int = 0
    ejected_until: Millis = NEVER
    rate: float = 0.0


@final
class UpstreamHealth:
    """Finds upstreams that do much worse than their siblings, and ejects them for a while.

    :param service_of: Returns whose upstream one is; ``None`` when it is not known.
    :param may_judge: Returns whether this host decides which upstreams are ejected; the others tell
        it what they saw, and hear of it.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        service_of: Callable[[UpstreamId], ServiceId | None],
        may_judge: Callable[[], bool] = lambda: True,
        clock: Clock,
    ) -> None:
        self._service_of = service_of
        self._may_judge = may_judge
        self._clock = clock
        self._own: dict[UpstreamId, _Answers] = defaultdict(_Answers)
        self._peers: dict[HostId, dict[UpstreamId, Tally]] = {}
        self._told = AnswerTallies()
        self._timer: asyncio.TimerHandle | None = None
        self._news: Subject[AnswerTallies] = Subject()
        self._ejections: Subject[EjectedUpstream] = Subject()

    @property
    def news(self) -> Observable[AnswerTallies]:
        """Fires with what those that coordinate should be told."""
        return self._news

    @property
    def ejections(self) -> Observable[EjectedUpstream]:
        """Fires with what all hosts should be told, when this host lets an upstream rest."""
        return self._ejections

    def note_good(self, *, upstream: UpstreamId) -> None:
        """Record an answer that came whole and in time."""
        self._own[upstream].seen.append((self._clock.now(), True))

    def note_bad(self, *, upstream: UpstreamId) -> None:
        """Record an error, or an answer that is broken, late or missing."""
        self._own[upstream].seen.append((self._clock.now(), False))
        self._judge(upstream)
        self._tell_later()

    def on_peer(self, *, host: HostId, tallies: AnswerTallies) -> None:
        """Take in what a peer saw."""
        self._peers[host] = {
            UpstreamId(upstream): Tally(good=good, bad=bad)
            for upstream, (good, bad) in tallies.upstreams.items()
        }
        for upstream in list(self._peers[host]):
            self._judge(upstream)

    def on_ejected(self, message: EjectedUpstream) -> None:
        """Let an upstream rest, since the host that decides says so."""
        answers = self._own[UpstreamId(message.upstream)]
        answers.ejected_until = Millis(self._clock.now() + message.for_ms)
        answers.rate = message.rate
        answers.seen.clear()
        _log.info(
            "An upstream is ejected by another host.", upstream=message.upstream, rate=message.rate
        )

    def forget_peer(self, *, host: HostId) -> None:
        """Drop what a host saw that is gone."""
        self._peers.pop(host, None)

    def usable(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return those of a service's upstreams that do not rest."""
        now = self._clock.now()
        ejected = {
            entry.upstream: answers.rate
            for entry in entries
            if (answers := self._own.get(entry.upstream)) is not None
            and answers.ejected_until > now
        }
        if not ejected:
            return list(entries)
        kept_out = select_ejections(ejected, siblings=len(entries))
        return [entry for entry in entries if entry.upstream not in kept_out]

    def _tell_later(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TELL_MS / MS_PER_SECOND, self._tell)

    def _tell(self) -> None:
        """Tell what this host saw of upstreams that gave bad answers lately, if that is new."""
        self._timer = None
        self._forget_old()
        tallies = {upstream: self._own_tally(upstream) for upstream in self._own}
        message = AnswerTallies(
            upstreams={
                str(upstream): [tally.good, tally.bad]
                for upstream, tally in tallies.items()
                if tally.bad
            }
        )
        if message != self._told:
            self._told = message
            self._news.on_next(message)
        if message.upstreams:
            self._tell_later()

    def _judge(self, upstream: UpstreamId) -> None:
        answers = self._own[upstream]
        now = self._clock.now()
        service = self._service_of(upstream)
        if service is None or answers.ejected_until > now or not self._may_judge():
            return
        own = self._tally(upstream)
        others = Tally()
        for other in self._known():
            if other != upstream and self._service_of(other) == service:
                others = others.plus(self._tally(other))
        if is_outlier(own=own, others=others):
            self._eject(upstream, own, others)

    def _eject(self, upstream: UpstreamId, own: Tally, others: Tally) -> None:
        answers = self._own[upstream]
        now = self._clock.now()
        if now - answers.ejected_until > FORGIVEN_MS:
            answers.ejections = 0
        for_ms = min(FIRST_EJECTION_MS * 2**answers.ejections, LONGEST_EJECTION_MS)
        answers.ejections += 1
        answers.ejected_until = Millis(now + for_ms)
        answers.rate = own.rate
        answers.seen.clear()
        for tallies in self._peers.values():
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

    def _known(self) -> set[UpstreamId]:
        known = set(self._own)
        for tallies in self._peers.values():
            known.update(tallies)
        return known

    def _tally(self, upstream: UpstreamId) -> Tally:
        tally = self._own_tally(upstream)
        for tallies in self._peers.values():
            tally = tally.plus(tallies.get(upstream, Tally()))
        return tally

    def _own_tally(self, upstream: UpstreamId) -> Tally:
        answers = self._own.get(upstream)
        if answers is None:
            return Tally()
        self._drop_old(answers)
        good = sum(is_good for _, is_good in answers.seen)
        return Tally(good=good, bad=len(answers.seen) - good)

    def _drop_old(self, answers: _Answers) -> None:
        oldest = self._clock.now() - WINDOW_MS
        while answers.seen and answers.seen[0][0] < oldest:
            answers.seen.popleft()

    def _forget_old(self) -> None:
        now = self._clock.now()
        for upstream, answers in list(self._own.items()):
            self._drop_old(answers)
            if not answers.seen and now - answers.ejected_until > FORGIVEN_MS:
                del self._own[upstream]


@final
class LateNote:
    """Records one attempt for the health of its upstream, as soon as it is late.

    :param health: Takes what attempts show.
    :param entry: The upstream.
    :param after_ms: When an answer is late.
    """

    def __init__(self, *, health: UpstreamHealth, entry: UpstreamEntry, after_ms: int) -> None:
        self._health = health
        self._entry = entry
        self._is_noted = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_ms / MS_PER_SECOND, self._on_late)

    def end(self, *, is_good: bool) -> None:
        """Record how it ended, unless it was late."""
        self._timer.cancel()
        if self._is_noted:
            return
        self._is_noted = True
        if is_good:
            self._health.note_good(upstream=self._entry.upstream)
        else:
            self._health.note_bad(upstream=self._entry.upstream)

    def cancel(self) -> None:
        """Stop waiting; nothing is known of an attempt that was given up before it was late."""
        self._timer.cancel()

    def _on_late(self) -> None:
        self._is_noted = True
        self._health.note_bad(upstream=self._entry.upstream)
