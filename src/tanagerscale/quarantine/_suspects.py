"""Requests that crash what runs them, where nothing tells that an upstream has crashed.

The load it answers: a request that crashes each upstream which begins to run it comes again and
again, at any host. An upstream that crashed never answers under its id again. So a request whose
answer broke off, at an upstream that has said nothing since, may have crashed it; one that did so
at three upstreams is refused. Innocent requests beside it are cleared by any whole answer to them.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Evidence
from tanagerscale.generated.messages import Suspect
from tanagerscale.quarantine._rules import Fingerprint

MOST_CRASHES: Final = 3
"""Upstreams that a request may crash before it is refused. One or two may be chance, where they
crash for other causes each few seconds."""

SUSPECT_MS: Final = 600_000
"""How long a suspicion stands after the last crash. Such requests come again within seconds."""

MOST_SUSPECTS: Final = 10_000
"""Suspicions that are kept; the oldest go first."""

NOBODY: Final = Fingerprint("")
"""Stands for no request, where only an upstream is meant."""

_log = get_logger(part="quarantine")


@final
class Suspects:
    """Counts the upstreams that each request may have crashed, over all hosts.

    :param clock: Time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashes: OrderedDict[Fingerprint, set[UpstreamId]] = OrderedDict()
        self._last: dict[Fingerprint, Millis] = {}
        self._blamed: dict[UpstreamId, set[Fingerprint]] = {}
        self._news: Subject[Suspect] = Subject()

    @property
    def news(self) -> Observable[Suspect]:
        """Fires with what the peers should be told."""
        return self._news

    @property
    def known(self) -> int:
        """How many requests are under suspicion."""
        return len(self._crashes)

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request has crashed too many upstreams to be run again."""
        crashed = self._crashes.get(fingerprint)
        if crashed is None or len(crashed) < MOST_CRASHES:
            return False
        return self._clock.now() - self._last[fingerprint] < SUSPECT_MS

    def note_broken(self, *, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """Record that the answer to a request broke off without notice."""
        self._blame(fingerprint, upstream)
        self._tell(Evidence.BROKEN, upstream, fingerprint)

    def note_whole(self, *, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """Record a whole answer: the request crashes nothing, and the upstream lives."""
        self.note_alive(upstream=upstream)
        if fingerprint in self._crashes:
            self._clear(fingerprint)
            self._tell(Evidence.WHOLE, upstream, fingerprint)

    def note_alive(self, *, upstream: UpstreamId) -> None:
        """Record any answer of an upstream: what broke off there did not crash it."""
        if upstream in self._blamed:
            self._acquit(upstream)
            self._tell(Evidence.ALIVE, upstream)

    def on_peer(self, message: Suspect) -> None:
        """Take in what a peer saw."""
        fingerprint = Fingerprint(message.fingerprint)
        upstream = UpstreamId(message.upstream)
        if message.evidence is Evidence.BROKEN:
            self._blame(fingerprint, upstream)
        elif message.evidence is Evidence.WHOLE:
            self._clear(fingerprint)
        else:
            self._acquit(upstream)

    def snapshot(self) -> list[Suspect]:
        """Return what a peer that has just connected should know.

        A single crash is left out: nearly all of these are chance, and there may be hundreds.
        """
        return [
            Suspect(upstream=upstream, evidence=Evidence.BROKEN, fingerprint=fingerprint)
            for fingerprint, crashed in self._crashes.items()
            if len(crashed) > 1
            for upstream in crashed
        ]

    def _tell(
        self, evidence: Evidence, upstream: UpstreamId, fingerprint: Fingerprint = NOBODY
    ) -> None:
        self._news.on_next(Suspect(upstream=upstream, evidence=evidence, fingerprint=fingerprint))

    def _acquit(self, upstream: UpstreamId) -> None:
        for fingerprint in self._blamed.pop(upstream, ()):
            crashed = self._crashes.get(fingerprint)
            if crashed is not None:
                crashed.discard(upstream)
                if not crashed:
                    self._clear(fingerprint)

    def _blame(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        now = self._clock.now()
        self._drop_old(now)
        crashed = self._crashes.setdefault(fingerprint, set())
        self._crashes.move_to_end(fingerprint)
        self._last[fingerprint] = now
        crashed.add(upstream)
        self._blamed.setdefault(upstream, set()).add(fingerprint)
        if len(crashed) == MOST_CRASHES:
            _log.warning(
                "A request is refused from now on.",
                fingerprint=fingerprint,
                crashed=sorted(crashed),
            )

    def _drop_old(self, now: Millis) -> None:
        while self._crashes:
            oldest = next(iter(self._crashes))
            is_old = now - self._last[oldest] >= SUSPECT_MS
            if not is_old and len(self._crashes) < MOST_SUSPECTS:
                return
            self._clear(oldest)

    def _clear(self, fingerprint: Fingerprint) -> None:
        self._last.pop(fingerprint, None)
        for upstream in self._crashes.pop(fingerprint, ()):
            blamed = self._blamed.get(upstream)
            if blamed is not None:
                blamed.discard(fingerprint)
                if not blamed:
                    del self._blamed[upstream]
